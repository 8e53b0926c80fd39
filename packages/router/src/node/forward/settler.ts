/** Settles the reservation of a request and creates its billing record, each at most once. */
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

/** Version and endpoint at which a request runs, and the id under which it is sent there. */
export interface Placement {
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

  /** Returns the whole reservation, for a request that certainly did not run. */
  release (): void {
    this.#settleOnce(0)
  }

  /**
   * Settles and bills a request that ran. Without a settlement the real cost is
   * unknown: a plain call then costs its price, a model call all reserved tokens.
   */
  settle (placement: Placement, settlement: Settlement | undefined, fallbackOutcome: Outcome): void {
    const reserved = this.#held?.reservation.tokens ?? 0
    const tokens = Math.min(reserved, settlement?.tokens ?? this.#plan.priceTokens ?? reserved)
    const outcome = settlement?.outcome ?? fallbackOutcome
    if (outcome === 'notRun') {
      this.release()
      return
    }
    const reservation = this.#settleOnce(tokens)
    if (reservation === undefined) return
    this.#deps.records.bill({
      requestId: placement.requestId,
      organisation: this.#plan.organisation,
      budget: this.#plan.budget,
      service: this.#plan.service.name,
      version: placement.version,
      route: this.#plan.route,
      tokens,
      outcome,
      atMs: this.#deps.timers.nowMs(),
      endpointId: placement.endpoint.id,
      routerId: this.#deps.routerId,
      reservation
    })
  }

  /** Settles the reservation unless that was done before. A request that attached to the response of another request holds no reservation. */
  #settleOnce (tokens: number): Reservation | undefined {
    const held = this.#held
    if (held === undefined) return undefined
    this.#held = undefined
    this.#deps.budget.settle(this.#plan.budget, held.reservation, tokens)
    return held.reservation
  }
}
