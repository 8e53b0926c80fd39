import { describe, expect, it } from 'vitest'
import { LoanTracker, loanRestateMs, needsLoan, plannedIdleTokens, planPrefetch, returnableTokens, type Loan } from '../index.ts'

function statement (sequence: number, grantedTokens: number, committedTokens = 0): Loan {
  return { sequence, grantedTokens, committedTokens }
}

describe('LoanTracker', () => {
  it('releases the tokens that a borrower gives back', () => {
    const book = new LoanTracker()
    book.recordStatement('router', statement(1, 0))
    book.addTokens('router', 1, 100)
    expect(book.recordStatement('router', statement(2, 40))).toBe(60)
    expect(book.loanOf('router').grantedTokens).toBe(40)
  })

  it('ignores a message that arrives after a newer one, because the borrower still holds the tokens', () => {
    const book = new LoanTracker()
    book.recordStatement('router', statement(1, 0))
    book.addTokens('router', 1, 100)
    book.recordStatement('router', statement(3, 100))
    expect(book.recordStatement('router', statement(2, 40))).toBeUndefined()
    expect(book.loanOf('router').grantedTokens).toBe(100)
  })

  it('limits the tokens that a borrower claims to hold to those that it was lent', () => {
    const book = new LoanTracker()
    book.recordStatement('router', statement(1, 0))
    book.addTokens('router', 1, 100)
    expect(book.recordStatement('router', statement(2, 500))).toBe(0)
    expect(book.loanOf('router').grantedTokens).toBe(100)
  })

  it('adds nothing to a loan when the borrower has already sent a newer message', () => {
    const book = new LoanTracker()
    book.recordStatement('router', statement(1, 0))
    book.recordStatement('router', statement(2, 0))
    expect(book.addTokens('router', 1, 100)).toBe(false)
    expect(book.loanOf('router').grantedTokens).toBe(0)
  })

  it('counts lent tokens that are neither spent nor reserved as idle', () => {
    const book = new LoanTracker()
    book.recordStatement('first', statement(1, 0))
    book.addTokens('first', 1, 100)
    book.recordStatement('second', statement(1, 0))
    book.addTokens('second', 1, 50)
    book.recordStatement('second', statement(2, 50, 30))
    expect(book.idleTokens).toBe(120)
  })
})

describe('borrowing ahead', () => {
  it('covers seconds of spending while much of the budget is unassigned, and nothing when it is nearly exhausted', () => {
    expect(plannedIdleTokens(0.9, 10)).toBeGreaterThan(10_000)
    expect(plannedIdleTokens(0.04, 10)).toBe(0)
  })

  it('leaves tokens for the other borrowers, and adds nothing for a borrower that holds enough', () => {
    expect(planPrefetch({ plannedTokens: 1000, idleTokens: 0, availableTokens: 300, borrowerCount: 2 })).toBe(100)
    expect(planPrefetch({ plannedTokens: 1000, idleTokens: 950, availableTokens: 300, borrowerCount: 2 })).toBe(50)
    expect(planPrefetch({ plannedTokens: 10, idleTokens: 50, availableTokens: 300, borrowerCount: 2 })).toBe(0)
  })

  it('renews a loan before it is used up, and returns tokens when the borrower holds much more than planned', () => {
    expect(needsLoan(400, 1000)).toBe(true)
    expect(needsLoan(600, 1000)).toBe(false)
    expect(returnableTokens(2000, 1000)).toBe(0)
    expect(returnableTokens(5000, 1000)).toBe(4000)
  })

  it('makes borrowers state idle tokens again before the budget is nearly exhausted, and each second from then on', () => {
    const budget = { prepaidTokens: 1_000_000, ratePerMs: 30 }
    for (let unassignedTokens = 900_000, waitedMs = 0; unassignedTokens > 50_000; unassignedTokens -= waitedMs * budget.ratePerMs) {
      waitedMs = loanRestateMs({ ...budget, unassignedTokens })
      expect(waitedMs).toBeLessThanOrEqual(Math.max(1000, (unassignedTokens - 50_000) / budget.ratePerMs))
    }
    expect(loanRestateMs({ ...budget, unassignedTokens: 20_000 })).toBe(1000)
    expect(loanRestateMs({ ...budget, unassignedTokens: 900_000, ratePerMs: 0 })).toBe(30_000)
  })
})
