/**
 * Tracks budget reservations in an endpoint process. A reservation has an entry from
 * the start of its request until its holder (the router process that reserved the
 * tokens) has stored the settlement. Fences of lost holders are kept here too.
 */

/** A reservation, as it comes with a call. */
export interface EntryReservation {
  readonly holder: string
  readonly shard: number
  readonly seq: number
  readonly tokens: number
}

/** An entry, as reported to the router that reclaims the holder's slices, or as stored when the endpoint process shuts down. */
export interface SliceEntry {
  readonly shard: number
  readonly budget: string
  readonly seq: number
  /** `reserved`: the request still runs and `tokens` is the full reservation. `settled`: `tokens` is the actual cost. */
  readonly state: 'reserved' | 'settled'
  readonly tokens: number
}

/** A holder and shard whose settled sequence should be queried. */
export interface EntryQuery {
  readonly holder: string
  readonly shard: number
}

interface TrackedEntry extends SliceEntry {
  /** Monotonic time of the last query about this entry, or of its creation, in ms. */
  readonly askedAtMs: number
}

interface HolderShard {
  /** Highest settled sequence that the holder reported as stored; -1 for none. */
  settledSeq: number
  readonly entries: Map<number, TrackedEntry>
  /** Monotonic time in ms at which `takeDueQueries` first saw no entries; unset while there are entries. */
  idleSinceMs?: number | undefined
}

/** Shards of a holder without entries are dropped after this time; most of them belong to routers that were replaced. */
const idleLimitMs = 3_600_000

/** Why a call under a reservation must not run. */
export type EntryRefusal = 'fenced' | 'alreadySettled' | 'seqReused'

export class SliceEntries {
  /** By holder, then by shard. */
  readonly #holders = new Map<string, Map<number, HolderShard>>()
  readonly #fenced = new Set<string>()

  isFenced (holder: string): boolean {
    return this.#fenced.has(holder)
  }

  /**
   * Returns why a call under this reservation must not run, or `undefined` if it
   * may. Also drops entries up to `settledSeq`, up to which the holder has stored
   * all settlements.
   */
  check (reservation: EntryReservation, settledSeq: number): EntryRefusal | undefined {
    if (this.#fenced.has(reservation.holder)) return 'fenced'
    this.prune(reservation.holder, reservation.shard, settledSeq)
    const shard = this.#holders.get(reservation.holder)?.get(reservation.shard)
    if (shard === undefined) return undefined
    if (reservation.seq <= shard.settledSeq) return 'alreadySettled'
    return shard.entries.has(reservation.seq) ? 'seqReused' : undefined
  }

  /** Adds an entry for a reservation whose request is sent to the back end. */
  reserve (reservation: EntryReservation, budget: string, nowMs: number): void {
    const shard = this.#ensureShard(reservation.holder, reservation.shard)
    shard.entries.set(reservation.seq, {
      shard: reservation.shard, budget, seq: reservation.seq, state: 'reserved', tokens: reservation.tokens, askedAtMs: nowMs
    })
  }

  /** Sets the actual cost of a reservation, limited to the reserved tokens. */
  settle (reservation: EntryReservation, tokens: number): void {
    const entries = this.#holders.get(reservation.holder)?.get(reservation.shard)?.entries
    const entry = entries?.get(reservation.seq)
    if (entries === undefined || entry === undefined) return
    entries.set(reservation.seq, { ...entry, state: 'settled', tokens: Math.min(tokens, reservation.tokens) })
  }

  /** Drops the entries up to `settledSeq`, which the holder's stored slice already counts. A sequence below the known one has no effect. */
  prune (holder: string, shard: number, settledSeq: number): void {
    if (settledSeq < 0 || this.#fenced.has(holder)) return
    const known = this.#ensureShard(holder, shard)
    if (settledSeq <= known.settledSeq) return
    known.settledSeq = settledSeq
    for (const seq of known.entries.keys()) {
      if (seq <= settledSeq) known.entries.delete(seq)
    }
  }

  /** Fences a holder permanently and returns its entries. */
  fence (holder: string): readonly SliceEntry[] {
    this.#fenced.add(holder)
    return [...this.#holders.get(holder)?.values() ?? []].flatMap(shard => [...shard.entries.values()].map(toSliceEntry))
  }

  /** Drops the entries of a fenced holder and keeps the fence. */
  forget (holder: string): void {
    if (this.#fenced.has(holder)) this.#holders.delete(holder)
  }

  /**
   * Returns the holders and shards that have entries without a query for `ageMs`,
   * and marks these entries as queried now. Also drops idle shards.
   */
  takeDueQueries (nowMs: number, ageMs: number): readonly EntryQuery[] {
    const old: EntryQuery[] = []
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

  /** Number of entries of all holders. */
  get size (): number {
    return [...this.#holders.values()].reduce((sum, shards) => sum + [...shards.values()].reduce((inner, shard) => inner + shard.entries.size, 0), 0)
  }

  /** All entries by holder, for a handover. */
  all (): ReadonlyMap<string, readonly SliceEntry[]> {
    return new Map([...this.#holders].map(([holder, shards]) =>
      [holder, [...shards.values()].flatMap(shard => [...shard.entries.values()].map(toSliceEntry))]))
  }

  #ensureShard (holder: string, shard: number): HolderShard {
    const shards = this.#holders.get(holder) ?? new Map<number, HolderShard>()
    this.#holders.set(holder, shards)
    const known = shards.get(shard) ?? { settledSeq: -1, entries: new Map<number, TrackedEntry>() }
    shards.set(shard, known)
    return known
  }
}

function toSliceEntry (entry: TrackedEntry): SliceEntry {
  const { shard, budget, seq, state, tokens } = entry
  return { shard, budget, seq, state, tokens }
}
