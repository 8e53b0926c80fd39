/** Reservation of one request in the budget of its organisation. */
import { notRun, type Failure } from '@buckthorndrift/policy'
import type { CallAttributes } from '../shared/call.ts'
import type { Organisation, Route } from '../shared/fleet.ts'
import type { BudgetLedger } from './budgetLedger.ts'
import type { Reservation } from './budgetRequest.ts'

/** Refusal that follows from a reservation; `undefined` if the request may run. */
export function failureOf (reservation: Reservation | undefined): Failure | undefined {
  switch (reservation?.kind) {
    case undefined:
    case 'reserved':
      return undefined
    case 'exhausted':
      return { verdict: notRun, reason: 'budgetExhausted', detail: 'the rest of the budget does not cover the request at its largest size' }
    case 'unavailable':
      return { verdict: notRun, reason: 'budgetUnavailable', detail: 'no tokens of the budget are free at the moment', retryAfterMs: reservation.retryAfterMs }
  }
}

export class CallBudget {
  #reservation: Extract<Reservation, { kind: 'reserved' }> | undefined
  #isSettled = false
  readonly #attributes: CallAttributes

  constructor (attributes: CallAttributes) {
    this.#attributes = attributes
  }

  /** Reserves the largest number of tokens that the request can use; returns `undefined` when the request needs no budget. */
  async reserve (ledger: BudgetLedger, organisation: Organisation | undefined, route: Route, maxWaitMs: number): Promise<Reservation | undefined> {
    const { generation } = this.#attributes
    if (organisation === undefined || generation === undefined || !ledger.hasBudget(organisation.name)) return undefined
    const tokens = generation.promptTokens + generation.maxOutputTokens
    const reservation = await ledger.reserve(organisation.name, { attemptId: this.#attributes.attemptId ?? '', tokens, rank: route.priority, maxWaitMs })
    if (reservation.kind === 'reserved') {
      this.#reservation = reservation
      // If the request ended while it waited for the store, its tokens are released at once.
      if (this.#isSettled) reservation.settle(0)
    }
    return reservation
  }

  /** Settles the reservation. A request that did not run consumes nothing; any other consumes its prompt and the delivered tokens. */
  settle (mayHaveRun: boolean, deliveredTokens: number): void {
    this.#isSettled = true
    const { generation } = this.#attributes
    if (this.#reservation === undefined || generation === undefined) return
    const { promptTokens, maxOutputTokens } = generation
    this.#reservation.settle(mayHaveRun ? promptTokens + Math.min(maxOutputTokens, deliveredTokens) : 0)
  }
}
