/** Answers a request whose tokens are not free, and says in the log what decided it. */
import type { Log } from '@buckthorndrift/kernel'
import { classifyRefusal, type BudgetSlice, type OtherHolderTotals } from '@buckthorndrift/policy'
import type { StoreFailure } from '../shared/store.ts'
import type { Waiter } from './budgetRequest.ts'
import type { LedgerObject } from './ledgerObject.ts'

export interface RefusalFacts {
  readonly log: Log
  readonly organisation: string
  readonly prepaidTokens: number
  /** Own tokens that are certainly used. */
  readonly committedTokens: number
  readonly others: OtherHolderTotals
  readonly slice: BudgetSlice
  readonly object: LedgerObject
  /** How long the store has been away; `undefined` while it answers. */
  readonly outageMs: number | undefined
  readonly storeFailure: StoreFailure['kind'] | 'none'
  readonly nowMs: number
  /** Uniform in [0, 1). */
  readonly random: () => number
}

export function refuseWaiter (waiter: Waiter, facts: RefusalFacts): void {
  const { log, others, slice, object, storeFailure } = facts
  const refusal = classifyRefusal({
    tokens: waiter.tokens,
    rank: waiter.rank,
    prepaidTokens: facts.prepaidTokens,
    committedTokens: facts.committedTokens,
    others,
    isLedgerCurrent: storeFailure === 'none' && object.revision !== undefined,
    outageMs: facts.outageMs,
    random: facts.random
  })
  log.event('budgetRefused', {
    attemptId: waiter.attemptId,
    organisation: facts.organisation,
    tokens: waiter.tokens,
    rank: waiter.rank,
    prepaidTokens: facts.prepaidTokens,
    leftTokens: refusal.leftTokens,
    lostTokens: others.lostTokens,
    othersGrantedTokens: others.grantedTokens,
    othersCommittedTokens: others.committedTokens,
    grantedTokens: slice.grantedTokens,
    committedTokens: slice.committedTokens,
    tokensPerS: Math.round(slice.ratePerMs(facts.nowMs) * 1000),
    ledgerRevision: object.revision ?? null,
    ledgerAgeMs: Math.round(object.ageMs),
    storeFailure,
    isExhausted: refusal.isExhausted
  })
  waiter.resolve(refusal.isExhausted ? { kind: 'exhausted' } : { kind: 'unavailable', retryAfterMs: refusal.retryAfterMs })
}
