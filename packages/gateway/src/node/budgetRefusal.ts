/** Refuses a waiting request whose tokens are not free, and logs the figures that decided the refusal. */
import type { Log } from '@buckthorndrift/kernel'
import { classifyRefusal, isReplacedHolder, sumOtherHolders, type BudgetSlice } from '@buckthorndrift/policy'
import type { StoreFailure } from '../shared/store.ts'
import type { Waiter } from './budgetRequest.ts'
import type { LedgerObject } from './ledgerObject.ts'

/** Time within which a restarted router has freed the tokens that its predecessor cannot have spent. */
const closingTimeMs = 6000

export interface RefusalContext {
  readonly log: Log
  readonly organisation: string
  readonly prepaidTokens: number
  /** Tokens granted to this router that are spent or reserved. Lent tokens that the borrowers have not used are not included. */
  readonly committedTokens: number
  /** Holder ids of this process and of those that borrow from it. */
  readonly running: readonly [string, ...string[]]
  readonly slice: BudgetSlice
  readonly ledgerObject: LedgerObject
  /** Time until tokens that this router already holds may be spent; `undefined` if it holds too few. */
  readonly releaseMs: number | undefined
  /** Duration of the store outage so far; `undefined` while the store responds. */
  readonly outageMs: number | undefined
  readonly storeFailure: StoreFailure['kind'] | 'none'
  readonly nowMs: number
  /** Uniform in [0, 1). */
  readonly random: () => number
}

export function refuseWaiter (waiter: Waiter, context: RefusalContext): void {
  const { log, running, slice, ledgerObject: object, storeFailure } = context
  const isClosed = slice.ageMs(context.nowMs) > closingTimeMs
  const others = sumOtherHolders(object.ledger, running[0], holder => isClosed && isReplacedHolder(holder, running))
  const refusal = classifyRefusal({
    tokens: waiter.tokens,
    rank: waiter.rank,
    prepaidTokens: context.prepaidTokens,
    committedTokens: context.committedTokens,
    others,
    isLedgerCurrent: storeFailure === 'none' && object.revision !== undefined,
    releaseMs: context.releaseMs,
    outageMs: context.outageMs,
    random: context.random
  })
  log.event('budgetRefused', {
    attemptId: waiter.attemptId,
    organisation: context.organisation,
    tokens: waiter.tokens,
    rank: waiter.rank,
    prepaidTokens: context.prepaidTokens,
    leftTokens: refusal.leftTokens,
    lostTokens: others.lostTokens,
    othersGrantedTokens: others.grantedTokens,
    othersCommittedTokens: others.committedTokens,
    grantedTokens: slice.grantedTokens,
    unreleasedTokens: Math.round(slice.idleTokens - slice.availableTokens),
    committedTokens: slice.committedTokens,
    tokensPerS: Math.round(slice.ratePerMs(context.nowMs) * 1000),
    ledgerRevision: object.revision ?? null,
    ledgerAgeMs: Math.round(object.ageMs),
    storeFailure,
    isExhausted: refusal.isExhausted
  })
  waiter.resolve(refusal.isExhausted ? { kind: 'exhausted' } : { kind: 'unavailable', retryAfterMs: refusal.retryAfterMs })
}
