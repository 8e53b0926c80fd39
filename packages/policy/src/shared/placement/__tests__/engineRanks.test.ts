import { describe, expect, it } from 'vitest'
import { EngineRanks, standingOf, type StandingInput } from '../index.ts'

const input: StandingInput = { prefillMs: 20, objectiveMs: 1000, timeoutMs: 10_000, waitedMs: 0 }

describe('standingOf', () => {
  it('tells prompts that are read quickly from long ones, by the objective', () => {
    expect(standingOf(input)).toBe('quick')
    expect(standingOf({ ...input, prefillMs: 400 })).toBe('long')
    expect(standingOf({ ...input, prefillMs: 400, objectiveMs: 4000 })).toBe('quick')
  })

  it('lets a request that cannot meet its objective any more come last, unless it has waited long', () => {
    expect(standingOf({ ...input, prefillMs: 400, waitedMs: 700 })).toBe('late')
    expect(standingOf({ ...input, prefillMs: 400, waitedMs: 4000 })).toBe('quick')
  })
})

describe('EngineRanks', () => {
  const routePriorities = [0, 1, 2].map(route => ({ base: route, route }))

  it('puts every standing of a more urgent priority before those of a less urgent one', () => {
    const ranks = new EngineRanks(routePriorities)
    const order = routePriorities.flatMap(priority => (['quick', 'long', 'late'] as const).map(standing => ranks.rankOf(priority, standing)))
    expect(order).toEqual([0, 1, 2, 3, 4, 5, 6, 7, 8])
  })

  it('leaves fewer ranks to standings where organisations have priorities of their own', () => {
    const ranks = new EngineRanks([0, 1].flatMap(base => [0, 1].map(route => ({ base, route }))))
    expect(ranks.rankOf({ base: 0, route: 1 }, 'quick')).toBe(2)
    expect(ranks.rankOf({ base: 0, route: 1 }, 'late')).toBe(3)
    expect(ranks.rankOf({ base: 1, route: 0 }, 'quick')).toBe(4)
  })

  it('stays within 0 to 9, in order, with more priorities than ranks', () => {
    const priorities = Array.from({ length: 24 }, (_, index) => ({ base: index, route: 0 }))
    const ranks = new EngineRanks(priorities)
    const order = priorities.map(priority => ranks.rankOf(priority, 'late'))
    expect(order).toEqual(order.toSorted((left, right) => left - right))
    expect([order[0], order.at(-1)]).toEqual([0, 9])
  })

  it('counts an unknown priority as the next less urgent one', () => {
    const ranks = new EngineRanks([{ base: 0, route: 0 }, { base: 2, route: 2 }])
    expect(ranks.rankOf({ base: 1, route: 1 }, 'quick')).toBe(3)
    expect(ranks.rankOf({ base: 7, route: 7 }, 'quick')).toBe(3)
    expect(new EngineRanks([]).rankOf({ base: 1, route: 1 }, 'quick')).toBe(0)
  })
})
