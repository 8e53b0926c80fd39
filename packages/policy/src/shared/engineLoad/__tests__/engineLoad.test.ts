import { describe, expect, it } from 'vitest'
import { createHasher } from '../../routing/index.ts'
import { LoadSums, noLoad, PrefillBacklog, rankAggregators, SharedLoad, type EngineLoad } from '../index.ts'

const load: EngineLoad = { pendingTokens: 10_000, running: 2, heldTokens: 12_000 }
const loads = new Map([['e1', load]])
const hasher = await createHasher()

describe('LoadSums', () => {
  it('returns the sums of all other routers, without the load of the one that asks', () => {
    const sums = new LoadSums()
    sums.exchange('a', loads, 0)
    sums.exchange('b', new Map([['e1', load], ['e2', load]]), 100)
    expect(sums.exchange('c', loads, 200)).toEqual({ loads: new Map([['e1', { pendingTokens: 20_000, running: 4, heldTokens: 24_000 }], ['e2', load]]), ageMs: 150, routers: 2 })
    expect(sums.exchange('a', loads, 200).loads.get('e1')?.running).toBe(4)
  })

  it('leaves out routers that have not reported for a second', () => {
    const sums = new LoadSums()
    sums.exchange('a', loads, 0)
    expect(sums.exchange('b', loads, 1000)).toEqual({ loads: new Map(), ageMs: 0, routers: 0 })
  })
})

describe('SharedLoad', () => {
  it('knows nothing before the first answer, and nothing more a second after the last one', () => {
    const shared = new SharedLoad()
    expect(shared.at('e1', 50, 0)).toBeUndefined()
    shared.receive({ loads, ageMs: 100, routers: 1 }, 1000)
    expect(shared.at('e1', 50, 1000)).toBeDefined()
    expect(shared.at('e1', 50, 1900)).toBeUndefined()
  })

  it('takes off what the engine has read since, and counts an engine without a report as idle', () => {
    const shared = new SharedLoad()
    shared.receive({ loads, ageMs: 100, routers: 1 }, 1000)
    expect(shared.at('e1', 50, 1050)).toEqual({ ...load, pendingTokens: 2500 })
    expect(shared.at('e1', 50, 1500)?.pendingTokens).toBe(0)
    expect(shared.at('e2', 50, 1050)).toEqual(noLoad)
  })

  it('drops an answer that a newer one overtook', () => {
    const shared = new SharedLoad()
    shared.receive({ loads, ageMs: 0, routers: 1 }, 1000)
    shared.receive({ loads: new Map(), ageMs: 0, routers: 1 }, 900)
    expect(shared.at('e1', 50, 1000)).toEqual(load)
  })
})

describe('rankAggregators', () => {
  const routers = Array.from({ length: 20 }, (_, index) => ({ id: `router-${index}`, processorCores: index % 4 === 0 ? 1.35 : 0.2 }))

  it('ranks no router in a small fleet', () => {
    expect(rankAggregators(hasher, routers.slice(0, 8))).toEqual([])
  })

  it('puts large VMs first, and keeps the order of the others when one leaves', () => {
    const ranked = rankAggregators(hasher, routers)
    expect(ranked.slice(0, 5).every(({ processorCores }) => processorCores === 1.35)).toBe(true)
    expect(rankAggregators(hasher, routers.filter(({ id }) => id !== ranked[0]!.id))).toEqual(ranked.slice(1))
  })

  it('ranks routers that do not tell their size', () => {
    expect(rankAggregators(hasher, routers.map(({ id }) => ({ id, processorCores: undefined })))).toHaveLength(20)
  })
})

describe('PrefillBacklog', () => {
  it('falls while the engine reads, but not to nothing before the first token', () => {
    const backlog = new PrefillBacklog()
    backlog.add(20_000, 50, 0)
    expect([0, 200, 1000].map(nowMs => backlog.tokens(50, nowMs))).toEqual([20_000, 10_000, 10_000])
    backlog.remove(20_000, 50, 1000)
    expect(backlog.tokens(50, 1000)).toBe(0)
  })

  it('keeps the tokens of the requests that still wait when one gets its first token', () => {
    const backlog = new PrefillBacklog()
    backlog.add(20_000, 50, 0)
    backlog.add(1000, 50, 0)
    backlog.remove(1000, 50, 0)
    expect(backlog.tokens(50, 0)).toBe(20_000)
  })
})
