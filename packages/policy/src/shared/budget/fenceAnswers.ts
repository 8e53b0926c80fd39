/** Collects the entries (one per reservation) that endpoint processes report about a fenced holder of budget slices. */
import type { Slice } from './shard.ts'

/** An endpoint process that may have run requests under the fenced holder. */
export interface ReclaimEndpoint {
  readonly id: string
  readonly incarnation: string
  readonly vm: string
}

/** What an endpoint knows of one reservation of the fenced holder. */
export interface FenceEntry {
  readonly shard: number
  readonly budget: string
  readonly seq: number
  /** `reserved`: the request still runs and `tokens` is the full reservation. `settled`: `tokens` is the actual cost. */
  readonly state: 'reserved' | 'settled'
  readonly tokens: number
}

/** Entries of the holder that an endpoint process stored when it shut down. The process runs no requests any more. */
export interface ReclaimHandover {
  readonly endpointId: string
  readonly incarnation: string
  readonly entries: readonly FenceEntry[]
}

/** State of the fleet that a reclaim reads from the platform. */
export interface ReclaimRegistry {
  readonly endpoints: readonly ReclaimEndpoint[]
  readonly liveVms: ReadonlySet<string>
  readonly handovers: readonly ReclaimHandover[]
  /** Whether an endpoint process that may have run requests under the holder ended without a handover. */
  readonly hasLostEndpoint: boolean
}

interface AskedEndpoint {
  readonly endpoint: ReclaimEndpoint
  /** `undefined` while the endpoint's answer is awaited. */
  entries: readonly FenceEntry[] | undefined
}

export class FenceAnswers {
  readonly #asked = new Map<string, AskedEndpoint>()
  #handedOver: readonly FenceEntry[] = []
  #isSpendUnknown = false

  /** True when an endpoint process was lost together with its entries; the slices then count as spent up to their caps. */
  get isSpendUnknown (): boolean {
    return this.#isSpendUnknown
  }

  get haveAllAnswered (): boolean {
    return [...this.#asked.values()].every(asked => asked.entries !== undefined)
  }

  get hasRunningRequests (): boolean {
    return [...this.#asked.values()].some(asked => asked.entries?.some(entry => entry.state === 'reserved') === true)
  }

  /** Endpoints that must be asked (again): they have not answered, or still run requests of the holder. */
  get pendingEndpoints (): readonly ReclaimEndpoint[] {
    return [...this.#asked.values()]
      .filter(asked => asked.entries === undefined || asked.entries.some(entry => entry.state === 'reserved'))
      .map(asked => asked.endpoint)
  }

  get endpoints (): readonly ReclaimEndpoint[] {
    return [...this.#asked.values()].map(asked => asked.endpoint)
  }

  /** Requests still running in the shard; they count with their full reservation if its slices are closed now. */
  runningEntriesOf (shard: number): readonly FenceEntry[] {
    return [...this.#asked.values()].flatMap(asked => asked.entries ?? [])
      .filter(entry => entry.shard === shard && entry.state === 'reserved')
  }

  /**
   * Sets the endpoints to ask: those registered after the fence was written.
   * Endpoints that register later read the fence before they accept calls.
   */
  setEndpoints (endpoints: readonly ReclaimEndpoint[]): void {
    for (const endpoint of endpoints) this.#asked.set(endpoint.id, { endpoint, entries: undefined })
  }

  /** Records that an endpoint which may have run requests of the holder is gone without a handover. */
  markEndpointLost (): void {
    this.#isSpendUnknown = true
  }

  /** Sets the entries that endpoints stored when they shut down. */
  setHandovers (handovers: readonly ReclaimHandover[]): void {
    this.#handedOver = handovers.flatMap(handover => handover.entries)
  }

  /**
   * Applies a later read of the registry. An endpoint that has not answered is
   * lost if another incarnation replaced it, or if both its registration and its
   * VM are gone. An endpoint with a handover needs no answer.
   */
  applyRegistry ({ endpoints, liveVms, handovers }: ReclaimRegistry): void {
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
      if (isReplaced || isGone) this.#markLost(asked)
    }
  }

  /** Records the entries that an endpoint reported. An answer by another incarnation means that the asked one is lost. */
  recordAnswer (endpointId: string, incarnation: string, entries: readonly FenceEntry[]): void {
    const asked = this.#asked.get(endpointId)
    if (asked === undefined) return
    if (asked.endpoint.incarnation === incarnation) asked.entries = entries
    else this.#markLost(asked)
  }

  /**
   * Tokens spent from a slice. A reservation that several endpoints report, after
   * a retry, counts once with its largest amount. Running requests count with
   * their full reservations, but together with at most the unspent part of the cap.
   * Their sum can exceed it: a holder that is still alive may settle some of them
   * at a lower cost and return the rest after the endpoints answered.
   */
  spentTokensOf (shard: number, budget: string, slice: Slice, settledSeq: number): number {
    if (this.#isSpendUnknown) return slice.capTokens
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

  #markLost (asked: AskedEndpoint): void {
    asked.entries ??= []
    this.#isSpendUnknown = true
  }
}
