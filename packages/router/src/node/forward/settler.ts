/** Settles a request's reservation and makes its billing record, once. */
import type { TimerService } from '@buckthorndrift/kernel'
import type { Member, Outcome, Reservation, Settlement } from '@buckthorndrift/protocol'
import type { BudgetService, HeldReservation, RecordService } from '../../shared/services.ts'
import type { CallPlan } from '../../shared/callPlan.ts'

export interface SettlerDeps {
  readonly budget: BudgetService
  readonly records: RecordService
  readonly timers: TimerService
  readonly routerId: string
}

/** Where a request ran, for its billing record. */
export interface RunPlace {
  readonly requestId: string
  readonly version: string
  readonly endpoint: Member
}

export class Settler {
  readonly #deps: SettlerDeps
  readonly #plan: CallPlan
  #held: HeldReservation | undefined

  constructor (deps: SettlerDeps, plan: CallPlan) {
    this.#deps = deps
    this.#plan = plan
  }

  get held (): HeldReservation | undefined {
    return this.#held
  }

  hold (held: HeldReservation): void {
    this.#held = held
  }

  /** Gives the whole reservation back, for a request that certainly did not run. */
  release (): void {
    this.#take(0)
  }

  /**
   * Settles and bills a request that ran. Without a settlement the real cost
   * cannot be known: a plain call costs its price, and what else was reserved counts as used.
   */
  finish (place: RunPlace, settlement: Settlement | undefined, fallback: Outcome): void {
    const reserved = this.#held?.reservation.tokens ?? 0
    const tokens = Math.min(reserved, settlement?.tokens ?? this.#plan.priceTokens ?? reserved)
    const outcome = settlement?.outcome ?? fallback
    if (outcome === 'notRun') {
      this.release()
      return
    }
    const reservation = this.#take(tokens)
    if (reservation === undefined) return
    this.#deps.records.bill({
      requestId: place.requestId,
      organisation: this.#plan.organisation,
      budget: this.#plan.budget,
      service: this.#plan.service.name,
      version: place.version,
      route: this.#plan.route,
      tokens,
      outcome,
      atMs: this.#deps.timers.nowMs(),
      endpointId: place.endpoint.id,
      routerId: this.#deps.routerId,
      reservation
    })
  }

  /** The reservation is settled once; a request that attached to another one's answer holds none. */
  #take (tokens: number): Reservation | undefined {
    const held = this.#held
    if (held === undefined) return undefined
    this.#held = undefined
    this.#deps.budget.settle(this.#plan.budget, held.reservation, tokens)
    return held.reservation
  }
}
