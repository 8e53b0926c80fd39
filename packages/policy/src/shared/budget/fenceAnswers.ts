/** What endpoint processes answered about a fenced holder. */
import type { Slice } from './shard.ts'

export interface ReclaimEndpoint {
  readonly id: string
  readonly incarnation: string
  readonly vm: string
}

export interface FenceEntry {
  readonly shard: number
  readonly budget: string
  readonly seq: number
  /** `reserved`: still running; `tokens` is the whole reservation. */
  readonly state: 'reserved' | 'settled'
  readonly tokens: number
}

/** Entries of the holder that an endpoint wrote when it left; it runs nothing any more. */
export interface ReclaimHandover {
  readonly endpointId: string
  readonly incarnation: string
  readonly entries: readonly FenceEntry[]
}

export interface ReclaimRegistry {
  readonly endpoints: readonly ReclaimEndpoint[]
  readonly liveVms: ReadonlySet<string>
  readonly handovers: readonly ReclaimHandover[]
  /** Whether an endpoint process vanished that may have run requests under the holder and handed nothing over. */
  readonly hasLostEndpoint: boolean
}

interface Asked {
  readonly endpoint: ReclaimEndpoint
  entries: readonly FenceEntry[] | undefined
}

export class FenceAnswers {
  readonly #asked = new Map<string, Asked>()
  #handedOver: readonly FenceEntry[] = []
  #isUnknowable = false

  /** True when an endpoint is lost with what it knew; the slices then count as wholly spent. */
  get isUnknowable (): boolean {
    return this.#isUnknowable
  }

  get areAllIn (): boolean {
    return [...this.#asked.values()].every(asked => asked.entries !== undefined)
  }

  get hasRunning (): boolean {
    return [...this.#asked.values()].some(asked => asked.entries?.some(entry => entry.state === 'reserved') === true)
  }

  /** Endpoints without an answer or with running requests. */
  get toAsk (): readonly ReclaimEndpoint[] {
    return [...this.#asked.values()]
      .filter(asked => asked.entries === undefined || asked.entries.some(entry => entry.state === 'reserved'))
      .map(asked => asked.endpoint)
  }

  get endpoints (): readonly ReclaimEndpoint[] {
    return [...this.#asked.values()].map(asked => asked.endpoint)
  }

  /** Running requests that count with their whole reservation when the slices of the shard are closed now. */
  unsettledOf (shard: number): readonly FenceEntry[] {
    return [...this.#asked.values()].flatMap(asked => asked.entries ?? [])
      .filter(entry => entry.shard === shard && entry.state === 'reserved')
  }

  /** Takes the registry as read after the fence was written. Later ones need not be asked: they read the fence before they accept calls. */
  expect (endpoints: readonly ReclaimEndpoint[]): void {
    for (const endpoint of endpoints) this.#asked.set(endpoint.id, { endpoint, entries: undefined })
  }

  /** An endpoint that is not in the registry any more may have run requests of the holder. */
  noteLostEndpoint (): void {
    this.#isUnknowable = true
  }

  /** Takes the entries that endpoints wrote to the platform when they left. */
  noteHandovers (handovers: readonly ReclaimHandover[]): void {
    this.#handedOver = handovers.flatMap(handover => handover.entries)
  }

  /** Takes a later registry: an endpoint without an answer whose process and VM are gone will never give one. */
  noteRegistry ({ endpoints, liveVms, handovers }: ReclaimRegistry): void {
    const present = new Map(endpoints.map(endpoint => [endpoint.id, endpoint]))
    for (const asked of this.#asked.values()) {
      if (asked.entries !== undefined) continue
      if (handovers.some(({ endpointId, incarnation }) => endpointId === asked.endpoint.id && incarnation === asked.endpoint.incarnation)) {
        asked.entries = []
        continue
      }
      const registered = present.get(asked.endpoint.id)
      const isReplaced = registered !== undefined && registered.incarnation !== asked.endpoint.incarnation
      const isGone = registered === undefined && !liveVms.has(asked.endpoint.vm)
      if (isReplaced || isGone) this.#lose(asked)
    }
  }

  note (endpointId: string, incarnation: string, entries: readonly FenceEntry[]): void {
    const asked = this.#asked.get(endpointId)
    if (asked === undefined) return
    if (asked.endpoint.incarnation === incarnation) asked.entries = entries
    else this.#lose(asked)
  }

  /**
   * Tokens spent of a slice. A reservation that several endpoints know, after a
   * retry, counts once. Running requests count with their reservations, but
   * together at most what the cap leaves: a holder that still lives may have
   * settled them at less and returned the rest since the endpoints answered.
   */
  spentOf (shard: number, budget: string, slice: Slice, settledSeq: number): number {
    if (this.#isUnknowable) return slice.capTokens
    const bySeq = new Map<number, FenceEntry>()
    const answered = [...this.#asked.values()].flatMap(asked => asked.entries ?? [])
    for (const entry of [...answered, ...this.#handedOver]) {
      if (entry.shard !== shard || entry.budget !== budget || entry.seq <= settledSeq) continue
      if (entry.tokens >= (bySeq.get(entry.seq)?.tokens ?? 0)) bySeq.set(entry.seq, entry)
    }
    const sumOf = (state: FenceEntry['state']) => [...bySeq.values()].filter(entry => entry.state === state).reduce((sum, entry) => sum + entry.tokens, 0)
    const settledTokens = slice.settledTokens + sumOf('settled')
    return settledTokens + Math.min(sumOf('reserved'), Math.max(0, slice.capTokens - settledTokens))
  }

  #lose (asked: Asked): void {
    asked.entries ??= []
    this.#isUnknowable = true
  }
}
