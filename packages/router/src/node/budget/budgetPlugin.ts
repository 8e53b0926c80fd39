/** Plugin that reserves tokens for the caller path and serves the `budget` control handlers. */
import { definePlugin, type Plugin, type PluginContext, type TimerService } from '@buckthorndrift/kernel'
import { defaultBudgetLimits, defaultReclaimLimits, holdersOf, type BudgetLimits, type ReclaimLimits } from '@buckthorndrift/policy'
import { documentsKey, membershipKey, objectStoreKey } from '@buckthorndrift/coordination'
import { budgetServiceKey, controlRegistryKey } from '../../shared/services.ts'
import { LocalHolders } from './localHolders.ts'
import { BudgetClient } from './budgetClient.ts'
import { LostHolderDetector } from './lostHolderDetector.ts'
import { PeerBudgetClient } from './peerBudgetClient.ts'
import { ReclaimRunner } from './reclaimRunner.ts'
import { readShard } from './shardStore.ts'
import { SettlementQueue } from './settlementQueue.ts'

export interface BudgetPluginOptions {
  /** Limits that replace the default ones. */
  readonly limits?: Partial<BudgetLimits>
  readonly reclaimLimits?: Partial<ReclaimLimits>
  /** Number of shards if the layout has to be created; 16 by default. */
  readonly initialShardCount?: number
  /** How this router reaches other processes. A router without it reserves for itself alone and reclaims nothing. */
  readonly fleet?: { readonly fleetSecret: string, readonly controlTimeoutMs: number }
  /** Uniform in [0, 1); `Math.random` by default. */
  readonly random?: () => number
}

type Fleet = NonNullable<BudgetPluginOptions['fleet']>

/** Interval at which holders check their timeouts and settlements are sent. */
const tickMs = 100

/** Longest time that a graceful shutdown spends on sending settlements. */
const settleTimeoutMs = 5000

/** Interval of the check for lost holders, that is slice holders whose router is no longer registered. */
const lostHolderCheckMs = 1000

interface ReclaimDeps {
  readonly context: PluginContext
  readonly options: BudgetPluginOptions
  readonly localHolders: LocalHolders
  readonly budgetClient: BudgetClient
}

/** Starts detecting lost holders and reclaiming their slices; returns a function that stops both. */
function startReclaiming ({ context, options, localHolders, budgetClient }: ReclaimDeps, fleet: Fleet): () => void {
  const membership = context.use(membershipKey)
  const reclaims = new Map<string, ReclaimRunner>()
  const startReclaim = async (holder: string, firstShards: readonly number[]) => {
    const shards = await budgetClient.shardCount()
    if (shards === undefined || reclaims.has(holder)) return
    reclaims.set(holder, new ReclaimRunner({
      holder,
      shards,
      firstShards,
      limits: { ...defaultReclaimLimits, ...options.reclaimLimits },
      store: context.use(objectStoreKey),
      documents: context.use(documentsKey),
      timers: context.timers,
      log: context.log,
      fleetSecret: fleet.fleetSecret,
      timeoutMs: fleet.controlTimeoutMs,
      random: options.random ?? Math.random,
      onDone: () => { reclaims.delete(holder) }
    }))
  }
  const scanShards = async () => {
    const shards = await budgetClient.shardCount() ?? 0
    // Reading one shard at a time keeps the reads of a large layout within the rate limits of the platform.
    for (let shard = 0; shard < shards; shard++) {
      const outcome = await readShard(context.use(objectStoreKey), context.log, shard)
      if (outcome.kind === 'read') lostHolderDetector.recordHolders(shard, [...holdersOf(outcome.shard)])
    }
  }
  const lostHolderDetector = new LostHolderDetector({
    membership,
    ownHolder: () => localHolders.holder,
    reclaim: (holder, firstShards) => { startReclaim(holder, firstShards).catch(() => {}) },
    scanShards: () => { scanShards().catch(() => {}) }
  })
  localHolders.setLostHolderDetector(lostHolderDetector)
  return context.timers.every(lostHolderCheckMs, () => {
    lostHolderDetector.tick(context.timers.monotonicMs())
    for (const reclaim of reclaims.values()) reclaim.tick()
  })
}

/** Sends the queued settlements until the slice holders have accepted all of them, for at most `settleTimeoutMs`. */
async function flushSettlements (queue: SettlementQueue, timers: TimerService): Promise<void> {
  const startedMs = timers.monotonicMs()
  while (!queue.isEmpty && timers.monotonicMs() - startedMs < settleTimeoutMs) {
    queue.flush(timers.monotonicMs())
    await new Promise<void>(resolve => { timers.after(tickMs, resolve) })
  }
}

/** Creates the plugin. It uses the object store, membership, the control registry and, in a fleet, documents. */
export function createBudgetPlugin (options: BudgetPluginOptions = {}): Plugin {
  return definePlugin({
    name: 'budget',
    setup (context) {
      const { timers, log } = context
      const store = context.use(objectStoreKey)
      const membership = context.use(membershipKey)
      const limits = { ...defaultBudgetLimits, ...options.limits }
      const peerClient = options.fleet === undefined ? undefined : new PeerBudgetClient({ ...options.fleet, timeoutMs: options.fleet.controlTimeoutMs })
      const documents = options.fleet === undefined ? undefined : context.use(documentsKey)
      const localHolders = new LocalHolders({ store, membership, documents, timers, log, limits, peerClient })
      const settlementQueue = new SettlementQueue({ membership, send: async (peer, items) => { await peerClient?.settle(peer, items) } })
      const budgetClient = new BudgetClient({ store, membership, timers, limits, localHolders, settlementQueue, peerClient, initialShardCount: options.initialShardCount })
      context.use(controlRegistryKey).register('budget', localHolders)
      context.provide(budgetServiceKey, budgetClient)
      const stopFunctions = [
        membership.subscribe(() => { localHolders.updateCollectors() }),
        timers.every(tickMs, () => {
          localHolders.tick()
          settlementQueue.flush(timers.monotonicMs())
        }),
        ...(options.fleet === undefined ? [] : [startReclaiming({ context, options, localHolders, budgetClient }, options.fleet)])
      ]
      return {
        async drain () {
          await flushSettlements(settlementQueue, timers)
          await localHolders.drain()
        },
        close () { for (const stop of stopFunctions) stop() }
      }
    }
  })
}
