/** Runs the caller listener of the router with in-memory fakes of the budget, record, configuration and version services. */
import { Ok } from 'ts-results-es'
import { createTracing, definePlugin, silentLog, silentMetrics, startKernel, SystemTimers } from '@buckthorndrift/kernel'
import type { FleetConfig } from '@buckthorndrift/policy'
import type { Member } from '@buckthorndrift/protocol'
import { budgetServiceKey, createCallerPlugin, configServiceKey, createControlPlugin, recordServiceKey, versionServiceKey } from '@buckthorndrift/router'
import { callerKey, fleetSecret, version, type StartedMessage } from './messages.ts'
import { platformFakes } from './platformFakes.ts'

const endpointLimit = 4000

const fleet: FleetConfig = {
  services: {
    model: { kind: 'model', name: 'model', dependsOn: [], versions: [{ name: version }], endpointLimit, maxOutputTokens: 100_000 },
    plain: {
      kind: 'plain',
      name: 'plain',
      dependsOn: [],
      versions: [{ name: version }],
      endpointLimit,
      calls: [{ route: 'GET /chambers/*', method: 'GET', path: '/chambers/*', idempotent: false, priceTokens: 1 }]
    },
    bulk: {
      kind: 'plain',
      name: 'bulk',
      dependsOn: [],
      versions: [{ name: version }],
      endpointLimit,
      calls: [{ route: 'GET /bulk', method: 'GET', path: '/bulk', idempotent: false, priceTokens: 1 }]
    }
  }
}

const self: Member = {
  id: 'router', incarnation: '1', role: 'router', vm: 'router', failureDomain: 'd0', controlUrl: 'http://127.0.0.1:9', leaving: false
}

/** Billing records are kept in memory, as in a real router until they are written, and dropped above this number. */
const maxRetainedRecords = 5000

/** Starts the caller listener in front of fixed endpoint processes. */
export async function startBenchRouter (endpoints: readonly Member[]): Promise<Omit<StartedMessage, 'kind'>> {
  const tracing = createTracing({ serviceName: 'bench' })
  const records: unknown[] = []
  let seq = 0
  let port = 0
  const services = definePlugin({
    name: 'serviceFakes',
    setup (context) {
      context.provide(budgetServiceKey, {
        reserve: async (_, tokens) => Ok({ reservation: { holder: 'router.1', shard: 0, seq: ++seq, tokens }, settledSeq: Math.max(0, seq - endpointLimit) }),
        settle () {}
      })
      context.provide(recordServiceKey, {
        canAdmit: () => true,
        bill: record => {
          records.push(record)
          if (records.length > maxRetainedRecords) records.length = 0
        },
        recordRefusal: async () => 'refused'
      })
      context.provide(configServiceKey, {
        fleet: () => fleet,
        findKey: key => key === callerKey ? { organisation: 'bench', budget: 'bench' } : undefined
      })
      context.provide(versionServiceKey, { chooseVersion: () => version, recordOutcome () {} })
      return undefined
    }
  })
  const address = { host: '127.0.0.1', port: 0 }
  await startKernel({
    timers: new SystemTimers(),
    log: silentLog,
    metrics: silentMetrics,
    plugins: [
      platformFakes(self, endpoints),
      services,
      createControlPlugin({ fleetSecret, listener: { kind: 'own', ...address } }),
      createCallerPlugin({ ...address, fleetSecret, tracing, random: Math.random, onListening: bound => { port = bound } })
    ]
  })
  return { url: `http://127.0.0.1:${port}` }
}
