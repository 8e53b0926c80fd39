/** Reservations of one holder in one shard and their settled sequence. */
import { noSettledSeq } from './shard.ts'

interface OpenReservation {
  readonly budget: string
  readonly tokens: number
  readonly atMs: number
}

interface SettledReservation {
  readonly budget: string
  readonly tokens: number
}

export interface SettleResult {
  readonly budget: string
  readonly reservedTokens: number
  readonly tokens: number
  /** Settled tokens that the settled sequence now covers, by budget. */
  readonly covered: readonly SettledReservation[]
}

export class Reservations {
  #lastSeq = noSettledSeq
  #settledSeq = noSettledSeq
  readonly #open = new Map<number, OpenReservation>()
  /** Settled, but above an open reservation. */
  readonly #settled = new Map<number, SettledReservation>()

  /** Highest sequence such that every reservation at or below it is settled. */
  get settledSeq (): number {
    return this.#settledSeq
  }

  get openCount (): number {
    return this.#open.size
  }

  /** Opens a reservation and returns its sequence. */
  open (budget: string, tokens: number, nowMs: number): number {
    const seq = ++this.#lastSeq
    this.#open.set(seq, { budget, tokens, atMs: nowMs })
    return seq
  }

  /** Settles at `tokens`, at most the reserved ones. `undefined` when the reservation is not open in this budget. */
  settle (budget: string, seq: number, tokens: number): SettleResult | undefined {
    const reservation = this.#open.get(seq)
    if (reservation === undefined || reservation.budget !== budget) return undefined
    const settledTokens = Math.min(Math.max(0, Math.ceil(tokens)), reservation.tokens)
    this.#open.delete(seq)
    this.#settled.set(seq, { budget, tokens: settledTokens })
    return { budget, reservedTokens: reservation.tokens, tokens: settledTokens, covered: this.#advance() }
  }

  /** Reservations opened before `beforeMs` and not settled. */
  openSince (beforeMs: number): readonly { readonly seq: number, readonly budget: string, readonly tokens: number }[] {
    const found: { seq: number, budget: string, tokens: number }[] = []
    for (const [seq, { budget, tokens, atMs }] of this.#open) {
      // Reservations are in order of time.
      if (atMs >= beforeMs) break
      found.push({ seq, budget, tokens })
    }
    return found
  }

  #advance (): readonly SettledReservation[] {
    const covered: SettledReservation[] = []
    for (let next = this.#settled.get(this.#settledSeq + 1); next !== undefined; next = this.#settled.get(this.#settledSeq + 1)) {
      this.#settledSeq += 1
      this.#settled.delete(this.#settledSeq)
      covered.push(next)
    }
    return covered
  }
}
