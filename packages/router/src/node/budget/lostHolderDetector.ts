/** Detects lost holders, that is slice holders whose router is no longer registered, and decides whether this router reclaims their slices. */
import { isHolderOf, rankCandidates } from '@buckthorndrift/policy'
import type { Membership } from '@buckthorndrift/coordination'
import type { Member } from '@buckthorndrift/protocol'

export interface LostHolderDetectorOptions {
  readonly membership: Membership
  /** Holder name under which this router currently takes slices. */
  ownHolder (): string
  /** Reclaims the slices of a holder; `shards` are those in which it was seen. */
  reclaim (holder: string, shards: readonly number[]): void
  /** Reads all shards and passes their holders to `recordHolders`. */
  scanShards (): void
}

/** Time for which a holder has to be unregistered before the responsible router reclaims it; changes of the registry reach processes with a delay. */
export const responsibleReclaimAfterMs = 3000

/** Time for which a holder has to be unregistered before any router reclaims it, in case the responsible router has not seen the holder. */
export const anyRouterReclaimAfterMs = 10_000

/** Delay from the departure of a router to the scan of all shards; gives a graceful shutdown time to return its slices. */
const scanDelayMs = 1000

/** Time from the start of a reclaim after which it is repeated if the holder still has slices. */
const reclaimRepeatMs = 60_000

interface SeenHolder {
  /** Shards in which the holder had slices when they were last read. */
  readonly shards: Set<number>
  lostSinceMs: number | undefined
  reclaimedAtMs: number | undefined
}

/** Remembers which holders have slices in which shards, and starts a reclaim for those that are lost. */
export class LostHolderDetector {
  readonly #options: LostHolderDetectorOptions
  readonly #seen = new Map<string, SeenHolder>()
  #lastRouters = new Map<string, Member>()
  #scanAtMs: number | undefined

  constructor (options: LostHolderDetectorOptions) {
    this.#options = options
  }

  /** Records a shard that was just read: it has slices of exactly these holders. */
  recordHolders (shard: number, holders: readonly string[]): void {
    for (const [holder, seen] of this.#seen) {
      if (holders.includes(holder)) continue
      seen.shards.delete(shard)
      if (seen.shards.size === 0) this.#seen.delete(holder)
    }
    for (const holder of holders) {
      const seen = this.#seen.get(holder) ?? { shards: new Set<number>(), lostSinceMs: undefined, reclaimedAtMs: undefined }
      seen.shards.add(shard)
      this.#seen.set(holder, seen)
    }
  }

  tick (nowMs: number): void {
    this.#scanAfterDepartures(nowMs)
    for (const [holder, seen] of this.#seen) {
      if (!this.#isLost(holder)) {
        seen.lostSinceMs = undefined
        continue
      }
      seen.lostSinceMs ??= nowMs
      const lostForMs = nowMs - seen.lostSinceMs
      const isDue = lostForMs >= (this.#isResponsibleFor(holder) ? responsibleReclaimAfterMs : anyRouterReclaimAfterMs)
      const isRecentlyReclaimed = seen.reclaimedAtMs !== undefined && nowMs - seen.reclaimedAtMs < reclaimRepeatMs
      if (!isDue || isRecentlyReclaimed) continue
      seen.reclaimedAtMs = nowMs
      this.#options.reclaim(holder, [...seen.shards])
    }
  }

  /**
   * Scans all shards after a router left the registry, if this router is
   * responsible for it: the departed router may have slices in shards that no
   * router reads now. The delay gives a graceful shutdown time to return them.
   */
  #scanAfterDepartures (nowMs: number): void {
    const present = new Map(this.#options.membership.routers().map(router => [`${router.id}.${router.incarnation}`, router]))
    const departed = [...this.#lastRouters].filter(([holder]) => !present.has(holder))
    this.#lastRouters = present
    if (departed.some(([holder]) => this.#isResponsibleFor(holder))) this.#scanAtMs ??= nowMs + scanDelayMs
    if (this.#scanAtMs === undefined || nowMs < this.#scanAtMs) return
    this.#scanAtMs = undefined
    this.#options.scanShards()
  }

  #isLost (holder: string): boolean {
    const { membership, ownHolder } = this.#options
    if (isHolderOf(holder, membership.self)) return holder !== ownHolder()
    return !membership.routers().some(router => isHolderOf(holder, router))
  }

  /** Whether this router ranks first for the holder among the reachable routers that are not leaving. */
  #isResponsibleFor (holder: string): boolean {
    const routers = this.#options.membership.routers({ isReachable: true }).filter(router => !router.leaving)
    return rankCandidates(holder, routers.map(router => router.id))[0] === this.#options.membership.self.id
  }
}
