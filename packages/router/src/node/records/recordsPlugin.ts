/** Plugin for billing records and refusal accounts, see docs/design.md section 5. */
import { definePlugin, type Plugin, type PluginContext } from '@buckthorndrift/kernel'
import { AccountCopies, RefusalAccounts } from '@buckthorndrift/policy'
import { membershipKey, objectStoreKey } from '@buckthorndrift/coordination'
import { createEndpointClient, createRouterClient, type BillingRecord, type RefusalAccount } from '@buckthorndrift/protocol'
import { budgetServiceKey, controlRegistryKey, recordServiceKey, type RecordService, type RefusalDetails } from '../../shared/services.ts'
import { AccountReplicator } from './accountReplicator.ts'
import { handOverRecords } from './handOver.ts'
import { RecordWriter } from './recordWriter.ts'

export interface RecordsPluginOptions {
  readonly fleetSecret: string
  readonly recordFlushMs: number
  readonly recordsLimitBytes: number
  /** Time after which this router stores copies of a peer's accounts that the peer has not stored. */
  readonly recordHandoverMs: number
  /** Longest time that a refusal waits for the copy of its account at a peer. */
  readonly replicateTimeoutMs: number
  readonly controlTimeoutMs: number
}

/** Maximum number of refusal accounts per second that name budget and service. Refusals above it are counted per organisation and reason only. */
const maxAccountsPerSecond = 1000

/** Flush attempts of a graceful shutdown before the remaining records are handed to a peer. */
const drainFlushAttempts = 3

/** Provides `RecordService` and the `records` control handlers. */
export function createRecordsPlugin (options: RecordsPluginOptions): Plugin {
  return definePlugin({ name: 'records', setup: context => setup(context, options) })
}

function setup (context: PluginContext, options: RecordsPluginOptions) {
  const { timers, log } = context
  const membership = context.use(membershipKey)
  const { self } = membership
  const writerId = `${self.id}.${self.incarnation}`
  const accounts = new RefusalAccounts({ routerId: self.id, writer: writerId, maxAccountsPerSecond })
  const copies = new AccountCopies<RefusalAccount>()
  const writer = new RecordWriter({
    store: context.use(objectStoreKey), timers, log, writer: writerId, onBillingStored: records => { void acknowledge(records) }
  })
  const replicator = new AccountReplicator({
    timers,
    log,
    membership,
    writer: writerId,
    storedBelow: () => writer.refusals.unstored.reduce((lowest, account) => Math.min(lowest, account.number), accounts.nextNumber),
    clientOf: peer => createRouterClient({ url: peer.controlUrl, fleetSecret: options.fleetSecret, timeoutMs: options.replicateTimeoutMs })
  })
  let flushing: Promise<boolean> | undefined
  let isFull = false

  async function acknowledge (records: readonly BillingRecord[]): Promise<void> {
    for (const endpointId of new Set(records.map(record => record.endpointId))) {
      const endpointRecords = records.filter(record => record.endpointId === endpointId)
      const member = membership.endpoints().find(endpoint => endpoint.id === endpointId)
      if (member === undefined) continue
      const client = createEndpointClient({ url: member.controlUrl, fleetSecret: options.fleetSecret, timeoutMs: options.controlTimeoutMs })
      await client.records.acknowledge.mutate({ requestIds: endpointRecords.map(record => record.requestId) })
        .catch(() => { log.event('acknowledgeFailed', { endpointId }) })
    }
  }

  async function flushOnce (): Promise<boolean> {
    const overdue = copies.takeOverdue(timers.nowMs(), options.recordHandoverMs)
    for (const account of overdue) writer.refusals.add(account)
    if (overdue.length > 0) log.event('copiesStored', { count: overdue.length })
    const isStored = await writer.flush()
    if (isStored) await replicator.announceStored()
    return isStored
  }

  function flush (): Promise<boolean> {
    flushing ??= flushOnce().finally(() => { flushing = undefined })
    return flushing
  }

  function canAdmit (): boolean {
    const wasFull = isFull
    isFull = writer.sizeBytes >= options.recordsLimitBytes
    if (isFull && !wasFull) log.event('recordsFull', { waitingBytes: writer.sizeBytes })
    return !isFull
  }

  async function refuse (draft: RefusalDetails): Promise<string> {
    const { refusalId, account } = accounts.count(draft, timers.nowMs())
    writer.refusals.add(account)
    await replicator.replicate(account)
    return refusalId
  }

  /** Hands records that the platform has not stored to a peer, so that a planned shutdown loses none. */
  async function handOverToPeer (): Promise<void> {
    const peers = membership.routers({ isReachable: true }).filter(router => router.id !== self.id)
    for (const peer of peers) {
      const client = createRouterClient({ url: peer.controlUrl, fleetSecret: options.fleetSecret, timeoutMs: options.controlTimeoutMs })
      try {
        await handOverRecords(client, writerId, { billing: [...writer.billing.unstored], refusals: [...writer.refusals.unstored] })
        return
      } catch {
        membership.noteUnreachable(peer.id)
      }
    }
  }

  /**
   * Takes over a billing record and settles its reservation. An endpoint process
   * hands a record over when the router that sent the request is lost. That router
   * has not settled the reservation either.
   */
  function acceptRecord (record: BillingRecord): void {
    writer.billing.add(record)
    context.use(budgetServiceKey).settle(record.budget, record.reservation, record.tokens)
  }

  async function drain (): Promise<void> {
    for (let attempt = 0; attempt < drainFlushAttempts; attempt++) {
      if (await flush() && writer.sizeBytes === 0) return
    }
    await handOverToPeer()
  }

  const service: RecordService = { canAdmit, bill: record => { writer.billing.add(record) }, recordRefusal: refuse }
  context.provide(recordServiceKey, service)
  context.use(controlRegistryKey).register('records', {
    replicateAccounts: async input => { copies.receive(input.writer, input.storedBelow, input.accounts, timers.nowMs()) },
    handOver: async input => { for (const record of input.records) acceptRecord(record) }
  })
  const stopFlushing = timers.every(options.recordFlushMs, () => { void flush() })
  return { drain, close: stopFlushing }
}
