/**
 * What an endpoint process knows of reservations: an entry for each one that
 * it let run, until the holder has flushed it, and the fences of lost holders.
 */

export interface EntryReservation {
  readonly holder: string
  readonly shard: number
  readonly seq: number
  readonly tokens: number
}

export interface SliceEntry {
  readonly shard: number
  readonly budget: string
  readonly seq: number
  /** `reserved`: still running, `tokens` is the whole reservation. */
  readonly state: 'reserved' | 'settled'
  readonly tokens: number
}

export interface OldEntries {
  readonly holder: string
  readonly shard: number
}

interface StoredEntry extends SliceEntry {
  /** Monotonic time of the last query about it, or of its start, in ms. */
  readonly askedAtMs: number
}

interface HolderShard {
  settledSeq: number
  readonly entries: Map<number, StoredEntry>
  /** Monotonic time since when there are no entries, in ms; unset while there are. */
  idleSinceMs?: number | undefined
}

/** Idle shards of holders are forgotten after this time, in ms; most belong to routers that were replaced. */
const idleLimitMs = 3_600_000

export type EntryRefusal = 'fenced' | 'alreadySettled' | 'seqReused'

export class SliceEntries {
  /** By holder, then by shard. */
  readonly #holders = new Map<string, Map<number, HolderShard>>()
  readonly #fenced = new Set<string>()

  isFenced (holder: string): boolean {
    return this.#fenced.has(holder)
  }

  /** Why a call under this reservation must not run, or `undefined`. Takes note of the holder's flushed sequence. */
  check (reservation: EntryReservation, settledSeq: number): EntryRefusal | undefined {
    if (this.#fenced.has(reservation.holder)) return 'fenced'
    this.prune(reservation.holder, reservation.shard, settledSeq)
    const shard = this.#holders.get(reservation.holder)?.get(reservation.shard)
    if (shard === undefined) return undefined
    if (reservation.seq <= shard.settledSeq) return 'alreadySettled'
    return shard.entries.has(reservation.seq) ? 'seqReused' : undefined
  }

  /** Notes that a request under the reservation is handed to the back end. */
  reserve (reservation: EntryReservation, budget: string, nowMs: number): void {
    const shard = this.#shardOf(reservation.holder, reservation.shard)
    shard.entries.set(reservation.seq, {
      shard: reservation.shard, budget, seq: reservation.seq, state: 'reserved', tokens: reservation.tokens, askedAtMs: nowMs
    })
  }

  /** Notes the real cost, at most the reservation. */
  settle (reservation: EntryReservation, tokens: number): void {
    const entries = this.#holders.get(reservation.holder)?.get(reservation.shard)?.entries
    const entry = entries?.get(reservation.seq)
    if (entries === undefined || entry === undefined) return
    entries.set(reservation.seq, { ...entry, state: 'settled', tokens: Math.min(tokens, reservation.tokens) })
  }

  /** Drops the entries that the holder's slice already counts. A lower sequence than known has no effect. */
  prune (holder: string, shard: number, settledSeq: number): void {
    if (settledSeq < 0 || this.#fenced.has(holder)) return
    const known = this.#shardOf(holder, shard)
    if (settledSeq <= known.settledSeq) return
    known.settledSeq = settledSeq
    for (const seq of known.entries.keys()) {
      if (seq <= settledSeq) known.entries.delete(seq)
    }
  }

  /** Fences a holder for good and returns its entries. */
  fence (holder: string): readonly SliceEntry[] {
    this.#fenced.add(holder)
    return [...this.#holders.get(holder)?.values() ?? []].flatMap(shard => [...shard.entries.values()].map(publicEntry))
  }

  /** Drops the entries of a fenced holder. The fence stays. */
  forget (holder: string): void {
    if (this.#fenced.has(holder)) this.#holders.delete(holder)
  }

  /** Holders and shards with entries that nobody was asked about for `ageMs`; marks them as asked, and forgets idle shards. */
  takeDueQueries (nowMs: number, ageMs: number): readonly OldEntries[] {
    const old: OldEntries[] = []
    for (const [holder, shards] of this.#holders) {
      for (const [shard, known] of shards) {
        const { entries } = known
        if (entries.size === 0) {
          known.idleSinceMs ??= nowMs
          if (nowMs - known.idleSinceMs >= idleLimitMs) shards.delete(shard)
          continue
        }
        known.idleSinceMs = undefined
        const due = [...entries.values()].filter(entry => nowMs - entry.askedAtMs >= ageMs)
        for (const entry of due) entries.set(entry.seq, { ...entry, askedAtMs: nowMs })
        if (due.length > 0) old.push({ holder, shard })
      }
      if (shards.size === 0) this.#holders.delete(holder)
    }
    return old
  }

  /** Entries kept, over all holders. */
  get size (): number {
    return [...this.#holders.values()].reduce((sum, shards) => sum + [...shards.values()].reduce((inner, shard) => inner + shard.entries.size, 0), 0)
  }

  /** All entries by holder, for a handover. */
  all (): ReadonlyMap<string, readonly SliceEntry[]> {
    return new Map([...this.#holders].map(([holder, shards]) =>
      [holder, [...shards.values()].flatMap(shard => [...shard.entries.values()].map(publicEntry))]))
  }

  #shardOf (holder: string, shard: number): HolderShard {
    const shards = this.#holders.get(holder) ?? new Map<number, HolderShard>()
    this.#holders.set(holder, shards)
    const known = shards.get(shard) ?? { settledSeq: -1, entries: new Map<number, StoredEntry>() }
    shards.set(shard, known)
    return known
  }
}

function publicEntry (entry: StoredEntry): SliceEntry {
  const { shard, budget, seq, state, tokens } = entry
  return { shard, budget, seq, state, tokens }
}
