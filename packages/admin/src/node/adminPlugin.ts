/** Plugin that serves the administration API on its own listener. */
import { toNodeHandler } from 'h3'
import { definePlugin, serviceKey, type Plugin } from '@buckthorndrift/kernel'
import { documentsKey, membershipKey, objectStoreKey } from '@buckthorndrift/coordination'
import type { AdminKey } from '../shared/adminKeys.ts'
import type { BudgetAdministration } from '../shared/budgetAdministration.ts'
import { createAdminApp } from './adminApp.ts'
import { createBudgetHandlers } from './handlers/budgets.ts'
import { createFleetHandlers } from './handlers/fleet.ts'
import type { AdminServices } from './handlers/handlers.ts'
import { createOrganisationHandlers } from './handlers/organisations.ts'
import { createProcessHandlers } from './handlers/processes.ts'
import { createRecordHandlers } from './handlers/records.ts'
import { openListener, type Listener, type TlsFiles } from './listener.ts'
import { OrganisationStore } from './organisationStore.ts'
import { createProcessControl } from './processControl.ts'

/** Key of the service that creates, tops up and reads budgets; `createStoredBudgetsPlugin` provides it. */
export const budgetAdministrationKey = serviceKey<BudgetAdministration>('budgetAdministration')

export interface AdminListener {
  /** Bound port; 0 until the plugin is ready. */
  readonly port: number
}
export const adminListenerKey = serviceKey<AdminListener>('adminListener')

export interface AdminOptions {
  readonly host: string
  /** 0 binds a free port. */
  readonly port: number
  readonly tls?: TlsFiles
  readonly keys: readonly AdminKey[]
  readonly fleetSecret: string
  /** Starts the graceful shutdown of this process and returns without waiting for the shutdown to complete. */
  drainSelf (): void
}

const headersTimeoutMs = 5000
const requestTimeoutMs = 15_000
const maxHeaderBytes = 16 * 1024
const maxConnections = 200
/** Timeout of a control call to another process. */
const processTimeoutMs = 3000

/** Creates the plugin. Requires the object store, documents, membership and budget administration services. */
export function createAdminPlugin (options: AdminOptions): Plugin {
  return definePlugin({
    name: 'admin',
    setup (context) {
      const store = context.use(objectStoreKey)
      const documents = context.use(documentsKey)
      const membership = context.use(membershipKey)
      const services: AdminServices = {
        store,
        documents,
        membership,
        budgets: context.use(budgetAdministrationKey),
        processes: createProcessControl({ documents, membership, fleetSecret: options.fleetSecret, timeoutMs: processTimeoutMs, drainSelf: options.drainSelf }),
        timers: context.timers,
        log: context.log
      }
      const organisations = new OrganisationStore(services.store, documents)
      const app = createAdminApp({
        keys: options.keys,
        log: context.log,
        handlers: {
          ...createFleetHandlers(services),
          ...createOrganisationHandlers(services, organisations),
          ...createBudgetHandlers(services, organisations),
          ...createProcessHandlers(services),
          ...createRecordHandlers(services)
        }
      })
      let listener: Listener | undefined
      context.provide(adminListenerKey, { get port () { return listener?.port ?? 0 } })
      return {
        async ready () {
          const { host, port, tls } = options
          listener = await openListener({
            host, port, ...(tls === undefined ? {} : { tls }), headersTimeoutMs, requestTimeoutMs, maxHeaderBytes, maxConnections
          }, toNodeHandler(app))
          context.log.event('adminListening', { host, port: listener.port })
        },
        drain: () => listener?.drain(),
        close: () => listener?.close()
      }
    }
  })
}
