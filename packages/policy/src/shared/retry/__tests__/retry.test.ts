import { describe, expect, it } from 'vitest'
import { mayHaveRun, notRun, type Failure, type FailureReason, type Verdict } from '../../verdict/index.ts'
import { decideRetry, HedgeDelay, maxAttempts, RetryBudget, type RetryInput } from '../index.ts'

function failure (verdict: Verdict, reason: FailureReason = 'endpointLost'): Failure {
  return { verdict, reason, detail: '' }
}

function kindOf (overrides: Partial<RetryInput>): string {
  return decideRetry({ failure: failure(notRun), idempotent: false, attempts: 1, remainingMs: 1000, random: () => 0.5, ...overrides }).kind
}

describe('retry decision', () => {
  it('never repeats a call that may have run and may not be repeated', () => {
    expect(kindOf({ failure: failure(mayHaveRun) })).toBe('stop')
    expect(kindOf({ failure: failure(mayHaveRun), idempotent: true })).toBe('retry')
    expect(kindOf({ failure: failure(notRun) })).toBe('retry')
  })

  it('does not repeat what another endpoint would refuse as well', () => {
    expect(kindOf({ failure: failure(notRun, 'keyReused'), idempotent: true })).toBe('stop')
    expect(kindOf({ failure: failure(notRun, 'deadlineExceeded'), idempotent: true })).toBe('stop')
  })

  it('stops at the deadline and after the last attempt', () => {
    expect(kindOf({ remainingMs: 10 })).toBe('stop')
    expect(kindOf({ attempts: maxAttempts })).toBe('stop')
  })
})

describe('retry budget', () => {
  it('keeps retries a share of first attempts while everything fails', () => {
    const budget = new RetryBudget({ share: 0.1, limit: 20, perSecond: 0 }, 0)
    let retries = 0
    for (let index = 0; index < 10_000; index++) {
      budget.recordFirstAttempt()
      for (let attempt = 1; attempt < maxAttempts && budget.tryTake(0); attempt++) retries += 1
    }
    expect(retries).toBeLessThanOrEqual(1020)
    expect(retries).toBeGreaterThan(900)
  })

  it('allows a quiet service a retry after a while', () => {
    const budget = new RetryBudget({ share: 0, limit: 1, perSecond: 0.5 }, 0)
    expect(budget.tryTake(0)).toBe(true)
    expect(budget.tryTake(1000)).toBe(false)
    expect(budget.tryTake(2100)).toBe(true)
  })
})

describe('hedge delay', () => {
  it('is unknown until enough answers were seen, then follows the p95', () => {
    const delay = new HedgeDelay(0)
    for (let index = 0; index < 49; index++) delay.observe(20, 0)
    expect(delay.delayMs()).toBeUndefined()
    for (let index = 0; index < 51; index++) delay.observe(100, 0)
    expect(delay.delayMs()).toBeGreaterThanOrEqual(95)
  })

  it('forgets answers of a time when the service was slow', () => {
    const delay = new HedgeDelay(0)
    for (let index = 0; index < 100; index++) delay.observe(5000, 0)
    for (let index = 0; index < 100; index++) delay.observe(10, 31_000)
    expect(delay.delayMs()).toBeLessThan(20)
  })
})
