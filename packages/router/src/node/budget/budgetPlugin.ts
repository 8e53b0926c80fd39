/** Plugin of a router: reservations of tokens for the caller path, and the `budget` control handlers. */
import { definePlugin, type Plugin, type PluginContext, type TimerService } from '@buckthorndrift/kernel'
import { defaultBudgetLimits, defaultReclaimLimits, holdersOf, type BudgetLimits, type ReclaimLimits } from '@buckthorndrift/policy'
import { documentsKey, membershipKey, objectStoreKey } from '@buckthorndrift/coordination'
import { budgetServiceKey, controlRegistryKey } from '../../shared/services.ts'
import { BudgetHome } from './budgetHome.ts'
import { BudgetRoutes } from './budgetClient.ts'
import { LostHolders } from './lostHolders.ts'
import { PeerCalls } from './peerCalls.ts'
import { ReclaimRunner } from './reclaimRunner.ts'
import { readShard } from './shardCalls.ts'
import { Settlements } from './settlementQueue.ts'

export interface BudgetPluginOptions {
  /** Overrides of the defaults. */
  readonly limits?: Partial<BudgetLimits>
  readonly reclaimLimits?: Partial<ReclaimLimits>
  /** Number of shards when the layout does not exist yet, 16 when absent. */
  readonly shards?: number
  /** How this router reaches other processes. Without it, it draws for itself alone and reclaims nothing. */
  readonly fleet?: { readonly fleetSecret: string, readonly controlTimeoutMs: number }
  /** Numbers from 0 below 1, `Math.random` when absent. */
  readonly random?: () => number
}

type Fleet = NonNullable<BudgetPluginOptions['fleet']>

/** How often holders look at their clocks and settlements are sent. */
const tickMs = 100

const settleLimitMs = 5000

/** How often lost holders are looked for. */
const lostTickMs = 1000

interface Parts {
  readonly context: PluginContext
  readonly options: BudgetPluginOptions
  readonly home: BudgetHome
  readonly routes: BudgetRoutes
}

/** Starts the search for lost holders and the reclaims; returns what stops it. */
function startReclaims ({ context, options, home, routes }: Parts, fleet: Fleet): () => void {
  const membership = context.use(membershipKey)
  const reclaims = new Map<string, ReclaimRunner>()
  const start = async (holder: string, firstShards: readonly number[]) => {
    const shards = await routes.shardCount()
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
  const scan = async () => {
    const shards = await routes.shardCount() ?? 0
    // One after the other, which keeps the reads of a large layout within the platform's limits.
    for (let shard = 0; shard < shards; shard++) {
      const outcome = await readShard(context.use(objectStoreKey), context.log, shard)
      if (outcome.kind === 'read') lostHolders.note(shard, [...holdersOf(outcome.shard)])
    }
  }
  const lostHolders = new LostHolders({
    membership,
    ownHolder: () => home.holder,
    reclaim: (holder, firstShards) => { start(holder, firstShards).catch(() => {}) },
    scan: () => { scan().catch(() => {}) }
  })
  home.watchHolders(lostHolders)
  return context.timers.every(lostTickMs, () => {
    lostHolders.tick(context.timers.monotonicMs())
    for (const reclaim of reclaims.values()) reclaim.tick()
  })
}

/** Waits until the holders took all settlements, at most `settleLimitMs`. */
async function sendAll (settlements: Settlements, timers: TimerService): Promise<void> {
  const startedMs = timers.monotonicMs()
  while (!settlements.isEmpty && timers.monotonicMs() - startedMs < settleLimitMs) {
    settlements.flush(timers.monotonicMs())
    await new Promise<void>(resolve => { timers.after(tickMs, resolve) })
  }
}

/** Creates the plugin. Needs the object store, membership, the control registry and, for a fleet, documents. */
export function createBudgetPlugin (options: BudgetPluginOptions = {}): Plugin {
  return definePlugin({
    name: 'budget',
    setup (context) {
      const { timers, log } = context
      const store = context.use(objectStoreKey)
      const membership = context.use(membershipKey)
      const limits = { ...defaultBudgetLimits, ...options.limits }
      const peers = options.fleet === undefined ? undefined : new PeerCalls({ ...options.fleet, timeoutMs: options.fleet.controlTimeoutMs })
      const documents = options.fleet === undefined ? undefined : context.use(documentsKey)
      const home = new BudgetHome({ store, membership, documents, timers, log, limits, peers })
      const settlements = new Settlements({ membership, send: async (peer, items) => { await peers?.settle(peer, items) } })
      const routes = new BudgetRoutes({ store, membership, timers, limits, home, settlements, peers, shards: options.shards })
      context.use(controlRegistryKey).register('budget', home)
      context.provide(budgetServiceKey, routes)
      const stops = [
        membership.subscribe(() => { home.updateCollectors() }),
        timers.every(tickMs, () => {
          home.tick()
          settlements.flush(timers.monotonicMs())
        }),
        ...(options.fleet === undefined ? [] : [startReclaims({ context, options, home, routes }, options.fleet)])
      ]
      return {
        async drain () {
          await sendAll(settlements, timers)
          await home.drain()
        },
        close () { for (const stop of stops) stop() }
      }
    }
  })
}
