import { describe, expect, it } from 'vitest'
import { mayHaveRun, notRun, type Failure, type FailureReason, type Verdict } from '../../verdict/index.ts'
import { decideRetry, HedgeDelay, maxAttempts, RetryBudget, type RetryInput } from '../index.ts'

function failure (verdict: Verdict, reason: FailureReason = 'endpointLost'): Failure {
  return { verdict, reason, detail: '' }
}

function decisionKindFor (overrides: Partial<RetryInput>): string {
  return decideRetry({ failure: failure(notRun), idempotent: false, attempts: 1, remainingMs: 1000, random: () => 0.5, ...overrides }).kind
}

describe('retry decision', () => {
  it('never retries a call that may have run and is not idempotent', () => {
    expect(decisionKindFor({ failure: failure(mayHaveRun) })).toBe('stop')
    expect(decisionKindFor({ failure: failure(mayHaveRun), idempotent: true })).toBe('retry')
    expect(decisionKindFor({ failure: failure(notRun) })).toBe('retry')
  })

  it('does not retry a failure that would recur at another endpoint', () => {
    expect(decisionKindFor({ failure: failure(notRun, 'keyReused'), idempotent: true })).toBe('stop')
    expect(decisionKindFor({ failure: failure(notRun, 'deadlineExceeded'), idempotent: true })).toBe('stop')
  })

  it('stops shortly before the deadline and after the last attempt', () => {
    expect(decisionKindFor({ remainingMs: 10 })).toBe('stop')
    expect(decisionKindFor({ attempts: maxAttempts })).toBe('stop')
  })
})

describe('retry budget', () => {
  it('limits retries to a share of first attempts while every attempt fails', () => {
    const budget = new RetryBudget({ share: 0.1, limit: 20, perSecond: 0 }, 0)
    let retries = 0
    for (let index = 0; index < 10_000; index++) {
      budget.recordFirstAttempt()
      for (let attempt = 1; attempt < maxAttempts && budget.tryTake(0); attempt++) retries += 1
    }
    expect(retries).toBeLessThanOrEqual(1020)
    expect(retries).toBeGreaterThan(900)
  })

  it('allows a service without traffic another retry after some time', () => {
    const budget = new RetryBudget({ share: 0, limit: 1, perSecond: 0.5 }, 0)
    expect(budget.tryTake(0)).toBe(true)
    expect(budget.tryTake(1000)).toBe(false)
    expect(budget.tryTake(2100)).toBe(true)
  })
})

describe('hedge delay', () => {
  it('is undefined until enough answers were observed, then follows the p95', () => {
    const delay = new HedgeDelay(0)
    for (let index = 0; index < 49; index++) delay.observe(20, 0)
    expect(delay.delayMs()).toBeUndefined()
    for (let index = 0; index < 51; index++) delay.observe(100, 0)
    expect(delay.delayMs()).toBeGreaterThanOrEqual(95)
  })

  it('drops answers of an earlier time window in which the service was slow', () => {
    const delay = new HedgeDelay(0)
    for (let index = 0; index < 100; index++) delay.observe(5000, 0)
    for (let index = 0; index < 100; index++) delay.observe(10, 31_000)
    expect(delay.delayMs()).toBeLessThan(20)
  })
})
