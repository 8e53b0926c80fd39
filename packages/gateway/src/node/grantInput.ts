/** State of one budget at this router, from which its grant is planned. */
import { countRouters, sumOtherHolders, type BudgetSlice, type GrantInput, type Ledger } from '@buckthorndrift/policy'
import type { WaitingRequests } from './waitingRequests.ts'

export interface GrantState {
  readonly prepaidTokens: number
  readonly ledger: Ledger
  /** Holder id of this process. */
  readonly holder: string
  readonly slice: BudgetSlice
  readonly isLender: boolean
  readonly waiting: WaitingRequests
  readonly nowMs: number
}

export function grantInputOf ({ prepaidTokens, ledger, holder, slice, isLender, waiting, nowMs }: GrantState): GrantInput {
  const others = sumOtherHolders(ledger, holder)
  const committedTokens = slice.ownCommittedTokens
  return {
    prepaidTokens,
    othersGrantedTokens: others.grantedTokens,
    holderCount: countRouters(ledger, holder),
    isLender,
    committedTokens,
    grantedTokens: committedTokens + slice.idleTokens,
    ratePerMs: slice.ratePerMs(nowMs),
    waitingTokens: waiting.fittingTokens(prepaidTokens - others.grantedTokens - committedTokens, prepaidTokens)
  }
}
