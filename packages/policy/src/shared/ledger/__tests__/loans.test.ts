import { describe, expect, it } from 'vitest'
import { LoanTracker, needsLoan, plannedIdleTokens, planPrefetch, returnableTokens, type Loan } from '../index.ts'

function statement (sequence: number, grantedTokens: number, committedTokens = 0): Loan {
  return { sequence, grantedTokens, committedTokens }
}

describe('LoanBook', () => {
  it('frees what a borrower gives back', () => {
    const book = new LoanTracker()
    book.recordStatement('router', statement(1, 0))
    book.addTokens('router', 1, 100)
    expect(book.recordStatement('router', statement(2, 40))).toBe(60)
    expect(book.loanOf('router').grantedTokens).toBe(40)
  })

  it('does not free tokens by a message that was overtaken, since the borrower holds them again', () => {
    const book = new LoanTracker()
    book.recordStatement('router', statement(1, 0))
    book.addTokens('router', 1, 100)
    book.recordStatement('router', statement(3, 100))
    expect(book.recordStatement('router', statement(2, 40))).toBeUndefined()
    expect(book.loanOf('router').grantedTokens).toBe(100)
  })

  it('never takes a borrower at its word for more than it was lent', () => {
    const book = new LoanTracker()
    book.recordStatement('router', statement(1, 0))
    book.addTokens('router', 1, 100)
    expect(book.recordStatement('router', statement(2, 500))).toBe(0)
    expect(book.loanOf('router').grantedTokens).toBe(100)
  })

  it('does not add to a loan when the borrower has given up on the message', () => {
    const book = new LoanTracker()
    book.recordStatement('router', statement(1, 0))
    book.recordStatement('router', statement(2, 0))
    expect(book.addTokens('router', 1, 100)).toBe(false)
    expect(book.loanOf('router').grantedTokens).toBe(0)
  })

  it('counts what is lent and not used as idle', () => {
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
  it('is for seconds of spending while much of the budget is left, and for nothing near its end', () => {
    expect(plannedIdleTokens(0.9, 10)).toBeGreaterThan(10_000)
    expect(plannedIdleTokens(0.04, 10)).toBe(0)
  })

  it('leaves something for the other borrowers', () => {
    expect(planPrefetch({ plannedTokens: 1000, idleTokens: 0, availableTokens: 300, borrowerCount: 2 })).toBe(100)
    expect(planPrefetch({ plannedTokens: 1000, idleTokens: 950, availableTokens: 300, borrowerCount: 2 })).toBe(50)
    expect(planPrefetch({ plannedTokens: 10, idleTokens: 50, availableTokens: 300, borrowerCount: 2 })).toBe(0)
  })

  it('is renewed before the loan is used up, and given back when much more is held than planned', () => {
    expect(needsLoan(400, 1000)).toBe(true)
    expect(needsLoan(600, 1000)).toBe(false)
    expect(returnableTokens(2000, 1000)).toBe(0)
    expect(returnableTokens(5000, 1000)).toBe(4000)
  })
})
