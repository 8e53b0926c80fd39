import { describe, expect, it } from 'vitest'
import {
  BudgetSlice, closedHolder, emptyLedger, isNearlyExhausted, isReplacedHolder, classifyRefusal, needsGrantUpdate, sumOtherHolders, planGrant, countRouters, withClosedHolders, withGrant, type GrantInput
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
  it('grants an initial slice before any request, so that the first requests need no call to the store', () => {
    expect(planGrant(untouched)).toBeGreaterThan(0)
  })

  it('never grants more than the unassigned tokens, at any spending rate', () => {
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

  it('grants only the tokens of waiting requests when the budget is nearly exhausted', () => {
    const last = { ...untouched, othersGrantedTokens: 960_000, ratePerMs: 5, waitingTokens: 1200 }
    expect(isNearlyExhausted(last)).toBe(true)
    expect(planGrant(last)).toBe(1200)
  })

  it('grants nothing for a waiting request that exceeds the unassigned tokens', () => {
    expect(planGrant({ ...untouched, othersGrantedTokens: 999_000, waitingTokens: 1200 })).toBe(0)
  })
})

describe('needsGrantUpdate', () => {
  it('asks for a larger grant before the slice is used up', () => {
    const planned = planGrant({ ...untouched, ratePerMs: 5 })
    const low = { ...untouched, ratePerMs: 5, grantedTokens: planned, committedTokens: planned * 0.9 }
    expect(needsGrantUpdate(low)).toBe(true)
  })

  it('asks for no update while the slice has its planned size', () => {
    const planned = planGrant(untouched)
    expect(needsGrantUpdate({ ...untouched, grantedTokens: planned })).toBe(false)
  })

  it('returns idle tokens when the budget is nearly exhausted', () => {
    expect(needsGrantUpdate({ ...untouched, othersGrantedTokens: 960_000, grantedTokens: 5000 })).toBe(true)
  })
})

describe('sumOtherHolders', () => {
  // After a power loss, many small grants of ended routers together are a large part of what seems left.
  it('counts idle tokens of holders as lost when another process of their node is known to run', () => {
    const ledger = { holders: { 'a.1': { grantedTokens: 500, committedTokens: 400 }, 'b.1': { grantedTokens: 100, committedTokens: 40 }, 'c.1': { grantedTokens: 50, committedTokens: 0 } } }
    expect(sumOtherHolders(ledger, 'd.2').lostTokens).toBe(0)
    expect(sumOtherHolders(ledger, 'd.2', holder => isReplacedHolder(holder, ['d.2', 'a.2', 'b.2', 'c.1'])).lostTokens).toBe(160)
  })
})

describe('classifyRefusal', () => {
  const refused = {
    tokens: 100,
    rank: 0,
    prepaidTokens: 1000,
    committedTokens: 300,
    others: { grantedTokens: 700, committedTokens: 400, lostTokens: 0 },
    isLedgerCurrent: true,
    outageMs: undefined,
    random: () => 0.5
  }

  it('reports a budget as exhausted only when the known spending of all routers leaves too few tokens', () => {
    expect(classifyRefusal(refused)).toMatchObject({ isExhausted: false, leftTokens: 300 })
    expect(classifyRefusal({ ...refused, tokens: 301 }).isExhausted).toBe(true)
    expect(classifyRefusal({ ...refused, tokens: 301, isLedgerCurrent: false }).isExhausted).toBe(false)
  })

  it('sets a long retry delay when the remaining tokens were lost with a router, and a short one when others may return them', () => {
    const lost = classifyRefusal({ ...refused, others: { ...refused.others, lostTokens: 250 } })
    expect(lost.isExhausted).toBe(false)
    expect(lost.retryAfterMs).toBeGreaterThan(classifyRefusal(refused).retryAfterMs * 5)
  })

  it('sets a long retry delay for less urgent requests when the last part of the budget is withheld for urgent ones', () => {
    const last = { ...refused, tokens: 20, committedTokens: 550, random: () => 0.5 }
    expect(classifyRefusal({ ...last, rank: 0 }).retryAfterMs).toBe(600)
    expect(classifyRefusal({ ...last, rank: 2 })).toMatchObject({ isExhausted: false, retryAfterMs: 10_000 })
  })

  it('expects an outage of the store to last as long again, up to the maximum retry delay', () => {
    expect(classifyRefusal({ ...refused, outageMs: 3000 }).retryAfterMs).toBe(3000)
    expect(classifyRefusal({ ...refused, outageMs: 60_000 }).retryAfterMs).toBe(4000)
  })
})

describe('BudgetSlice', () => {
  it('refuses a reservation that exceeds the available tokens of the grant', () => {
    const slice = new BudgetSlice(0)
    slice.setOwnTokens(100)
    expect(slice.tryReserve(60, 0, 0)).toBe(true)
    expect(slice.tryReserve(60, 0, 0)).toBe(false)
  })

  it('releases the reserved tokens that a request did not consume', () => {
    const slice = new BudgetSlice(0)
    slice.setOwnTokens(100)
    slice.tryReserve(100, 0, 0)
    slice.settle(100, 30)
    expect(slice.availableTokens).toBe(70)
  })

  it('withholds the rest of a slice from less urgent requests', () => {
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

  it('is unchanged by a repeated write, so that a late duplicate is harmless', () => {
    const once = withGrant(emptyLedger, 'a.1', grant)
    expect(withGrant(once, 'a.1', grant)).toEqual(once)
  })

  it('counts the whole grant of an ended process as spent', () => {
    const ledger = withClosedHolders(withGrant(emptyLedger, 'a.1', grant), (holder, open) => holder === 'a.1' ? open : undefined)
    expect(ledger.holders).toEqual({ [closedHolder]: grant })
    expect(sumOtherHolders(ledger, 'a.2')).toEqual({ grantedTokens: 500, committedTokens: 200, lostTokens: 300 })
  })

  it('leaves the own grant out of the totals of the other holders', () => {
    expect(sumOtherHolders(withGrant(emptyLedger, 'a.1', grant), 'a.1').grantedTokens).toBe(0)
  })

  it('counts the routers with a grant and the own one, without ended processes', () => {
    const ledger = withGrant(withGrant(emptyLedger, 'a.1', grant), closedHolder, grant)
    expect(countRouters(ledger, 'a.1')).toBe(1)
    expect(countRouters(ledger, 'b.1')).toBe(2)
  })
})
