/** Reservations of one holder in one shard, numbered in sequence, and the settled sequence that follows from them. */
import { initialSettledSeq } from './shard.ts'

interface OpenReservation {
  readonly budget: string
  readonly tokens: number
  readonly openedAtMs: number
}

interface SettledReservation {
  readonly budget: string
  readonly tokens: number
}

export interface SettleResult {
  readonly budget: string
  readonly reservedTokens: number
  readonly tokens: number
  /** Settled reservations that the settled sequence has just passed. */
  readonly covered: readonly SettledReservation[]
}

export class Reservations {
  #lastSeq = initialSettledSeq
  #settledSeq = initialSettledSeq
  readonly #open = new Map<number, OpenReservation>()
  /** Settled reservations with a sequence above that of an open one. */
  readonly #settledAboveOpen = new Map<number, SettledReservation>()

  /** Highest sequence up to which all reservations are settled. */
  get settledSeq (): number {
    return this.#settledSeq
  }

  get openCount (): number {
    return this.#open.size
  }

  /** Opens a reservation and returns its sequence. */
  open (budget: string, tokens: number, nowMs: number): number {
    const seq = ++this.#lastSeq
    this.#open.set(seq, { budget, tokens, openedAtMs: nowMs })
    return seq
  }

  /** Settles a reservation at `tokens`, limited to the reserved tokens. Returns `undefined` when it is not open in this budget. */
  settle (budget: string, seq: number, tokens: number): SettleResult | undefined {
    const reservation = this.#open.get(seq)
    if (reservation === undefined || reservation.budget !== budget) return undefined
    const settledTokens = Math.min(Math.max(0, Math.ceil(tokens)), reservation.tokens)
    this.#open.delete(seq)
    this.#settledAboveOpen.set(seq, { budget, tokens: settledTokens })
    return { budget, reservedTokens: reservation.tokens, tokens: settledTokens, covered: this.#advanceSettledSeq() }
  }

  /** Open reservations that were opened before `beforeMs`. */
  openedBefore (beforeMs: number): readonly { readonly seq: number, readonly budget: string, readonly tokens: number }[] {
    const found: { seq: number, budget: string, tokens: number }[] = []
    for (const [seq, { budget, tokens, openedAtMs }] of this.#open) {
      // The map iterates in the order in which the reservations were opened.
      if (openedAtMs >= beforeMs) break
      found.push({ seq, budget, tokens })
    }
    return found
  }

  #advanceSettledSeq (): readonly SettledReservation[] {
    const covered: SettledReservation[] = []
    for (let next = this.#settledAboveOpen.get(this.#settledSeq + 1); next !== undefined; next = this.#settledAboveOpen.get(this.#settledSeq + 1)) {
      this.#settledSeq += 1
      this.#settledAboveOpen.delete(this.#settledSeq)
      covered.push(next)
    }
    return covered
  }
}
