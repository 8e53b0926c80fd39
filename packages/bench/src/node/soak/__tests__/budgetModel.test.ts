import { describe, expect, it } from 'vitest'
import { checkBudgetSeed } from '../budgetSoak.ts'

describe('budget model', () => {
  it.each([1, 2, 3, 4, 5])('never overspends, counts each request once and loses no top-up, seed %i', seed => {
    expect(checkBudgetSeed(seed, 100)).toBeUndefined()
  })
})
