/** Finds holders whose router is not registered any more, and decides whether this router reclaims their slices. */
import { isHolderOf, rankCandidates } from '@buckthorndrift/policy'
import type { Membership } from '@buckthorndrift/coordination'
import type { Member } from '@buckthorndrift/protocol'

export interface LostHoldersOptions {
  readonly membership: Membership
  /** The holder under which this router draws now. */
  ownHolder (): string
  reclaim (holder: string, shards: readonly number[]): void
  /** Reads all shards and notes their holders. */
  scan (): void
}

/** How long a holder has to be unregistered before it counts as lost; the registry reaches processes late. */
export const lostAfterMs = 3000

/** After so long any router reclaims, in case the one whose duty it is does not know of the holder. */
export const anyoneAfterMs = 10_000

const scanAfterMs = 1000

/** A finished reclaim is repeated after this time if the holder is still seen. */
const repeatAfterMs = 60_000

interface Seen {
  readonly shards: Set<number>
  lostSinceMs: number | undefined
  reclaimedMs: number | undefined
}

export class LostHolders {
  readonly #options: LostHoldersOptions
  readonly #seen = new Map<string, Seen>()
  #routers = new Map<string, Member>()
  #scanAtMs: number | undefined

  constructor (options: LostHoldersOptions) {
    this.#options = options
  }

  /** A shard as just read has slices of these holders, and of no others. */
  note (shard: number, holders: readonly string[]): void {
    for (const [holder, seen] of this.#seen) {
      if (holders.includes(holder)) continue
      seen.shards.delete(shard)
      if (seen.shards.size === 0) this.#seen.delete(holder)
    }
    for (const holder of holders) {
      const seen = this.#seen.get(holder) ?? { shards: new Set<number>(), lostSinceMs: undefined, reclaimedMs: undefined }
      seen.shards.add(shard)
      this.#seen.set(holder, seen)
    }
  }

  tick (nowMs: number): void {
    this.#lookForVanished(nowMs)
    for (const [holder, seen] of this.#seen) {
      if (!this.#isLost(holder)) {
        seen.lostSinceMs = undefined
        continue
      }
      seen.lostSinceMs ??= nowMs
      const lostForMs = nowMs - seen.lostSinceMs
      const isDue = lostForMs >= (this.#isOwnDuty(holder) ? lostAfterMs : anyoneAfterMs)
      const isRepeated = seen.reclaimedMs !== undefined && nowMs - seen.reclaimedMs < repeatAfterMs
      if (!isDue || isRepeated) continue
      seen.reclaimedMs = nowMs
      this.#options.reclaim(holder, [...seen.shards])
    }
  }

  /**
   * A router that left the registry may have slices in shards that nobody reads
   * now. The router whose duty they are looks for them, after a time in which a
   * graceful shutdown has returned its own.
   */
  #lookForVanished (nowMs: number): void {
    const present = new Map(this.#options.membership.routers().map(router => [`${router.id}.${router.incarnation}`, router]))
    const vanished = [...this.#routers].filter(([holder]) => !present.has(holder))
    this.#routers = present
    if (vanished.some(([holder]) => this.#isOwnDuty(holder))) this.#scanAtMs ??= nowMs + scanAfterMs
    if (this.#scanAtMs === undefined || nowMs < this.#scanAtMs) return
    this.#scanAtMs = undefined
    this.#options.scan()
  }

  #isLost (holder: string): boolean {
    const { membership, ownHolder } = this.#options
    if (isHolderOf(holder, membership.self)) return holder !== ownHolder()
    return !membership.routers().some(router => isHolderOf(holder, router))
  }

  #isOwnDuty (holder: string): boolean {
    const routers = this.#options.membership.routers({ isReachable: true }).filter(router => !router.leaving)
    return rankCandidates(holder, routers.map(router => router.id))[0] === this.#options.membership.self.id
  }
}
