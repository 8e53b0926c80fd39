import { describe, expect, it } from 'vitest'
import {
  BudgetSlice, closedHolder, emptyLedger, isNearlyExhausted, classifyRefusal, needsGrantUpdate, sumOtherHolders, planGrant, countRouters, withClosedHolders, withGrant, type GrantInput
} from '../index.ts'

const untouched: GrantInput = {
  prepaidTokens: 1_000_000,
  othersGrantedTokens: 0,
  holderCount: 3,
  isLender: false,
  committedTokens: 0,
  grantedTokens: 0,
  ratePerMs: 0,
  waitingTokens: 0
}

describe('planGrant', () => {
  it('holds a first slice before any request came, so that the first ones need no store', () => {
    expect(planGrant(untouched)).toBeGreaterThan(0)
  })

  it('never grants more than is left, whatever the rate is', () => {
    for (const othersGrantedTokens of [0, 300_000, 900_000, 999_999, 1_000_000]) {
      for (const ratePerMs of [0, 1, 1000]) {
        const granted = planGrant({ ...untouched, othersGrantedTokens, ratePerMs, committedTokens: 0 })
        expect(granted + othersGrantedTokens).toBeLessThanOrEqual(1_000_000)
      }
    }
  })

  it('shrinks the slice as the budget is used up, because a killed router loses its slice', () => {
    const rate = { ...untouched, ratePerMs: 5 }
    const ample = planGrant(rate)
    const later = planGrant({ ...rate, othersGrantedTokens: 800_000 })
    expect(later).toBeLessThan(ample / 2)
  })

  it('grants only what waits in the last part of a budget', () => {
    const last = { ...untouched, othersGrantedTokens: 960_000, ratePerMs: 5, waitingTokens: 1200 }
    expect(isNearlyExhausted(last)).toBe(true)
    expect(planGrant(last)).toBe(1200)
  })

  it('does not grant for a request that does not fit', () => {
    expect(planGrant({ ...untouched, othersGrantedTokens: 999_000, waitingTokens: 1200 })).toBe(0)
  })
})

describe('needsUpdate', () => {
  it('writes before the slice is used up', () => {
    const planned = planGrant({ ...untouched, ratePerMs: 5 })
    const low = { ...untouched, ratePerMs: 5, grantedTokens: planned, committedTokens: planned * 0.9 }
    expect(needsGrantUpdate(low)).toBe(true)
  })

  it('does not write for a slice that is large enough', () => {
    const planned = planGrant(untouched)
    expect(needsGrantUpdate({ ...untouched, grantedTokens: planned })).toBe(false)
  })

  it('returns what is idle once the budget is nearly used up', () => {
    expect(needsGrantUpdate({ ...untouched, othersGrantedTokens: 960_000, grantedTokens: 5000 })).toBe(true)
  })
})

describe('judgeRefusal', () => {
  const refused = {
    tokens: 100,
    rank: 0,
    prepaidTokens: 1000,
    committedTokens: 300,
    others: { grantedTokens: 700, committedTokens: 400, lostTokens: 0 },
    isLedgerKnown: true,
    outageMs: undefined,
    random: () => 0.5
  }

  it('calls a budget exhausted only when what all routers have spent leaves too little', () => {
    expect(classifyRefusal(refused)).toMatchObject({ isExhausted: false, leftTokens: 300 })
    expect(classifyRefusal({ ...refused, tokens: 301 }).isExhausted).toBe(true)
    expect(classifyRefusal({ ...refused, tokens: 301, isLedgerCurrent: false }).isExhausted).toBe(false)
  })

  it('sends callers back late when the rest was lost with a router, and early when others may give it back', () => {
    const lost = classifyRefusal({ ...refused, others: { ...refused.others, lostTokens: 250 } })
    expect(lost.isExhausted).toBe(false)
    expect(lost.retryAfterMs).toBeGreaterThan(classifyRefusal(refused).retryAfterMs * 5)
  })

  it('sends less urgent requests back late when the last part of the budget is kept for urgent ones', () => {
    const last = { ...refused, tokens: 20, committedTokens: 550, random: () => 0.5 }
    expect(classifyRefusal({ ...last, rank: 0 }).retryAfterMs).toBe(600)
    expect(classifyRefusal({ ...last, rank: 2 })).toMatchObject({ isExhausted: false, retryAfterMs: 10_000 })
  })

  it('expects an outage to last as long again', () => {
    expect(classifyRefusal({ ...refused, outageMs: 3000 }).retryAfterMs).toBe(3000)
    expect(classifyRefusal({ ...refused, outageMs: 60_000 }).retryAfterMs).toBe(4000)
  })
})

describe('BudgetSlice', () => {
  it('never reserves beyond the grant', () => {
    const slice = new BudgetSlice(0)
    slice.setOwnTokens(100)
    expect(slice.tryReserve(60, 0, 0)).toBe(true)
    expect(slice.tryReserve(60, 0, 0)).toBe(false)
  })

  it('frees what a request did not consume', () => {
    const slice = new BudgetSlice(0)
    slice.setOwnTokens(100)
    slice.tryReserve(100, 0, 0)
    slice.settle(100, 30)
    expect(slice.availableTokens).toBe(70)
  })

  it('keeps the rest of a slice that cannot be refilled for urgent requests', () => {
    const slice = new BudgetSlice(0)
    slice.setOwnTokens(1000)
    slice.setFilledTokens(1000)
    expect(slice.tryReserve(900, 2, 0)).toBe(false)
    expect(slice.tryReserve(900, 1, 0)).toBe(true)
    expect(slice.tryReserve(90, 1, 0)).toBe(false)
    expect(slice.tryReserve(90, 0, 0)).toBe(true)
  })
})

describe('ledger', () => {
  const grant = { grantedTokens: 500, committedTokens: 200 }

  it('repeating a write changes nothing, so that a late one does no harm', () => {
    const once = withGrant(emptyLedger, 'a.1', grant)
    expect(withGrant(once, 'a.1', grant)).toEqual(once)
  })

  it('counts the whole grant of an ended process as spent', () => {
    const ledger = withClosedHolders(withGrant(emptyLedger, 'a.1', grant), holder => holder === 'a.1')
    expect(ledger.holders).toEqual({ [closedHolder]: grant })
    expect(sumOtherHolders(ledger, 'a.2')).toEqual({ grantedTokens: 500, committedTokens: 200, lostTokens: 300 })
  })

  it('leaves out the own grant', () => {
    expect(sumOtherHolders(withGrant(emptyLedger, 'a.1', grant), 'a.1').grantedTokens).toBe(0)
  })

  it('counts the routers of the fleet without ended ones', () => {
    const ledger = withGrant(withGrant(emptyLedger, 'a.1', grant), closedHolder, grant)
    expect(countRouters(ledger, 'a.1')).toBe(1)
    expect(countRouters(ledger, 'b.1')).toBe(2)
  })
})
