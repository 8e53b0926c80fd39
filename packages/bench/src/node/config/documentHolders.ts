/** Processes that hold copies of the documents, simulated in this process: each has its own kernel, and routers have a real control listener. */
import { silentLog, silentMetrics, startKernel, SystemTimers, type Kernel, type Plugin } from '@buckthorndrift/kernel'
import {
  createDocumentsPlugin, createMembershipPlugin, createObjectStorePlugin, documentsKey, membershipKey, objectStoreKey, type DocumentsPluginOptions,
  type HttpObjectStore
} from '@buckthorndrift/coordination'
import type { DocumentHandlers, Member } from '@buckthorndrift/protocol'
import { createControlPlugin, controlRegistryKey } from '@buckthorndrift/router'
import type { Random } from '../../shared/random.ts'

/** How the holders learn of changes: by exchange with routers, or by a platform watch in every process. */
export type Distribution = 'exchange' | 'everyProcessWatches'

export interface HoldersOptions {
  readonly count: number
  readonly failureDomains: number
  /** Share of the holders that are routers; the others behave as endpoint processes. */
  readonly routerShare: number
  readonly distribution: Distribution
  readonly platformUrl: string
  readonly random: Random
}

/** A process that holds copies of the documents. */
export interface Holder {
  readonly role: Member['role']
  readonly failureDomain: string
  readonly kernel: Kernel
}

/** Messages between holders with their replies, as JSON without HTTP headers. */
export interface MessageCount {
  messages: number
  bytes: number
}

const fleetSecret = 'bench'
const host = '127.0.0.1'
const discoveryPollMs = 100
/** Interval of the periodic exchange that disables it, because it is longer than any run. */
const disabledIntervalMs = 1_000_000_000

function countMessages (handlers: DocumentHandlers, count: MessageCount): DocumentHandlers {
  return {
    async exchange (input) {
      const reply = await handlers.exchange(input)
      count.messages += 1
      count.bytes += JSON.stringify(input).length + JSON.stringify(reply).length
      return reply
    }
  }
}

function documentsOptionsFor (distribution: Distribution): Partial<DocumentsPluginOptions> {
  switch (distribution) {
    case 'exchange': return {}
    case 'everyProcessWatches': return {
      tuning: { watchersPerDomain: Number.POSITIVE_INFINITY, intervalMs: disabledIntervalMs },
      call: async () => { throw new Error('processes send no messages to each other when every process watches') }
    }
  }
}

function createMember (index: number, options: HoldersOptions, address: { port: number }): Member {
  const isRouter = index < Math.round(options.count * options.routerShare)
  return {
    id: `p${index}`,
    incarnation: '1',
    role: isRouter ? 'router' : 'endpoint',
    vm: `vm${index}`,
    failureDomain: `domain${index % options.failureDomains}`,
    // Read when the process registers, after the control listener has its port.
    get controlUrl () { return `http://${host}:${address.port}` },
    leaving: false
  }
}

async function startHolder (index: number, options: HoldersOptions, count: MessageCount): Promise<Holder> {
  const address = { port: 0 }
  const self = createMember(index, options, address)
  const control: readonly Plugin[] = self.role === 'router'
    ? [createControlPlugin({ fleetSecret, listener: { kind: 'own', host, port: 0, onListening: port => { address.port = port } } })]
    : []
  const random = (): number => options.random.next()
  const kernel = await startKernel({
    timers: new SystemTimers(),
    log: silentLog,
    metrics: silentMetrics,
    plugins: [
      ...control,
      createObjectStorePlugin({ url: options.platformUrl, random }),
      createDocumentsPlugin({
        self,
        fleetSecret,
        random,
        ...documentsOptionsFor(options.distribution),
        ...(self.role === 'router'
          ? { registerExchange: (context, handlers) => { context.use(controlRegistryKey).register('documents', countMessages(handlers, count)) } }
          : {})
      }),
      createMembershipPlugin({ self, random })
    ]
  })
  return { role: self.role, failureDomain: self.failureDomain, kernel }
}

/** Starts and registers all holders concurrently. */
export async function startHolders (options: HoldersOptions): Promise<{ readonly holders: readonly Holder[], readonly messages: MessageCount }> {
  const messages: MessageCount = { messages: 0, bytes: 0 }
  const holders = await Promise.all(Array.from({ length: options.count }, (_, index) => startHolder(index, options, messages)))
  return { holders, messages }
}

/** Resolves once every holder knows every router; rejects after `limitMs`. */
export async function waitForRouterDiscovery (holders: readonly Holder[], limitMs: number): Promise<void> {
  const timers = new SystemTimers()
  const members = holders.map(({ kernel }) => kernel.use(membershipKey))
  const routers = members.filter(({ self }) => self.role === 'router').length
  for (const startMs = timers.monotonicMs(); !members.every(membership => membership.routers().length >= routers);) {
    if (timers.monotonicMs() - startMs > limitMs) throw new Error(`some holders have not discovered all routers after ${limitMs} ms`)
    await new Promise<void>(resolve => { timers.after(discoveryPollMs, resolve) })
  }
}

/** Cuts a failure domain off from the platform by closing the store clients in it; connections between processes stay open. */
export async function cutOffFromPlatform (holders: readonly Holder[], failureDomain: string): Promise<void> {
  const cutOff = holders.filter(holder => holder.failureDomain === failureDomain)
  await Promise.all(cutOff.map(({ kernel }) => (kernel.use(objectStoreKey) as HttpObjectStore).close()))
}

/** Time in ms from the call until each holder has the given version of the document; `undefined` for holders that do not have it after `limitMs`. */
export function measureDeliveryTimes (holders: readonly Holder[], name: string, version: number, limitMs: number): Promise<ReadonlyArray<number | undefined>> {
  const timers = new SystemTimers()
  const startMs = timers.monotonicMs()
  const measureDelivery = (holder: Holder): Promise<number | undefined> => new Promise(resolve => {
    const documents = holder.kernel.use(documentsKey)
    if ((documents.get(name)?.version ?? 0) >= version) {
      resolve(0)
      return
    }
    const finish = (result: number | undefined): void => {
      unsubscribe()
      cancel()
      resolve(result)
    }
    const unsubscribe = documents.subscribe(name, document => {
      if (document.version >= version) finish(timers.monotonicMs() - startMs)
    })
    const cancel = timers.after(limitMs, () => { finish(undefined) })
  })
  return Promise.all(holders.map(measureDelivery))
}
