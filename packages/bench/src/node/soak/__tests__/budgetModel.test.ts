import { describe, expect, it } from 'vitest'
import { checkBudgetSeed } from '../budgetSoak.ts'

describe('budget model', () => {
  it.each([1, 2, 3, 4, 5])('does not overspend, counts each request once and loses no top-up under random faults, seed %i', seed => {
    expect(checkBudgetSeed(seed, 100)).toBeUndefined()
  })
})
