/** Applies the release line of this router's grant to requests: makes them wait for it, and plans the next line. */
import type { TimerService } from '@buckthorndrift/kernel'
import { planReleaseLine, type BudgetSlice, type ReleaseLine } from '@buckthorndrift/policy'
import type { BudgetRequest, Reservation, Waiter } from './budgetRequest.ts'
import type { HolderReporter } from './holderReporter.ts'

/** Margin for the rounding of timers when a request waits for the line. */
const timerMarginMs = 5
/** Share of the budget that a grant may hold idle without a line. If the process is killed, these tokens count as spent. */
const unreportedIdleShare = 0.002

export interface GrantReleaseOptions {
  readonly organisation: string
  readonly slice: BudgetSlice
  readonly reporter: Pick<HolderReporter, 'releaseDelayMs'>
  readonly timers: TimerService
  tryReserve (request: BudgetRequest): Reservation | undefined
  refuse (waiter: Waiter): void
}

export class GrantRelease {
  readonly #options: GrantReleaseOptions
  /** Tokens of the requests that wait for the line. */
  #awaitedTokens = 0

  constructor (options: GrantReleaseOptions) {
    this.#options = options
  }

  /** Time until the line covers the tokens in addition to those already awaited; `undefined` if the slice does not hold them. */
  delayMs (tokens: number): number | undefined {
    const { slice, reporter, organisation } = this.#options
    const wantedTokens = tokens + this.#awaitedTokens
    if (wantedTokens > slice.idleTokens) return undefined
    return Math.max(0, reporter.releaseDelayMs(organisation, slice.minOwnCommittedTokens + wantedTokens)) + timerMarginMs
  }

  /** Whether the line covers the request before it has to be refused. */
  isReleasedInTime ({ tokens, maxWaitMs }: Waiter): boolean {
    const delayMs = this.delayMs(tokens)
    return delayMs !== undefined && delayMs <= maxWaitMs
  }

  /** Serves the request when the line covers it, or refuses it at once if that takes too long. */
  serveWhenReleased (waiter: Waiter): void {
    const { timers, tryReserve, refuse } = this.#options
    const delayMs = this.delayMs(waiter.tokens)
    if (delayMs === undefined || delayMs > waiter.maxWaitMs) {
      refuse(waiter)
      return
    }
    this.#awaitedTokens += waiter.tokens
    timers.after(delayMs, () => {
      this.#awaitedTokens -= waiter.tokens
      const reservation = tryReserve(waiter)
      if (reservation === undefined) refuse(waiter)
      else waiter.resolve(reservation)
    })
  }

  /**
   * Calls `listener` when the line covers `wantedTokens`, and when the request may not wait any longer. A call to the store
   * that gets no response takes longer than most requests may wait.
   */
  callWhenDue ({ maxWaitMs }: Waiter, wantedTokens: number, listener: () => void): void {
    const { timers } = this.#options
    const delayMs = this.delayMs(wantedTokens)
    if (delayMs !== undefined && delayMs < maxWaitMs) timers.after(delayMs, listener)
    timers.after(maxWaitMs, listener)
  }

  /** Line for the next report; `undefined` when too little of the grant is idle. */
  nextLine (prepaidTokens: number, waitingTokens: number): ReleaseLine | undefined {
    const { slice, timers } = this.#options
    if (slice.ownTokens - slice.ownCommittedTokens < unreportedIdleShare * prepaidTokens) return undefined
    return planReleaseLine({
      prepaidTokens,
      committedTokens: slice.minOwnCommittedTokens,
      ratePerMs: slice.ratePerMs(timers.monotonicMs()),
      largestRequestTokens: slice.largestRequestTokens,
      idleTokens: slice.idleTokens,
      waitingTokens
    })
  }
}
