import { describe, expect, it } from 'vitest'
import { EndpointHealth, placeCall, placeGeneration, PrefillSpeed, PrefixHistory, type CallCandidate, type GenerationCandidate, type GenerationChoice } from '../index.ts'

const idle: GenerationCandidate = {
  id: 'a', cachedTokens: 0, pendingTokens: 0, running: 0, heldTokens: 0, others: undefined, capacityTokens: 500_000, failureShare: 0, isAvoided: false, excessMs: 0
}

function choiceOf (candidates: readonly GenerationCandidate[], changes: Partial<GenerationChoice> = {}): GenerationChoice {
  return { candidates, promptTokens: 6000, homeId: 'b', secondHomeId: undefined, sharedTokens: 5000, tried: new Set(), objectiveMs: 1000, tokensPerMs: 55, random: () => 0, ...changes }
}

describe('placeGeneration', () => {
  it('prefers the home endpoint of the shared part of a prompt', () => {
    expect(placeGeneration(choiceOf([idle, { ...idle, id: 'b' }]))?.id).toBe('b')
  })

  it('leaves the home endpoint when its prefill backlog is large', () => {
    expect(placeGeneration(choiceOf([idle, { ...idle, id: 'b', pendingTokens: 60_000 }]))?.id).toBe('a')
  })

  it('stays at the home endpoint with a small backlog, because another endpoint would have to prefill the shared part again', () => {
    expect(placeGeneration(choiceOf([idle, { ...idle, id: 'b', pendingTokens: 4000 }]))?.id).toBe('b')
  })

  it('leaves the home endpoint for the second one, unless another is better', () => {
    const away = [idle, { ...idle, id: 'b', pendingTokens: 60_000 }, { ...idle, id: 'c' }]
    expect(placeGeneration(choiceOf(away, { secondHomeId: 'c' }))?.id).toBe('c')
    expect(placeGeneration(choiceOf([away[0]!, away[1]!, { ...idle, id: 'c', pendingTokens: 3000 }], { secondHomeId: 'c' }))?.id).toBe('a')
  })

  it('chooses at random from endpoints that are about as good, so that routers with the same view spread', () => {
    const equal = [idle, { ...idle, id: 'c', running: 1 }, { ...idle, id: 'd', pendingTokens: 3000 }]
    expect(placeGeneration(choiceOf(equal, { random: () => 0.9 }))?.id).toBe('c')
    expect(placeGeneration(choiceOf(equal, { random: () => 0 }))?.id).toBe('a')
  })

  it('counts the load of other routers', () => {
    const busy = { ...idle, id: 'b', others: { pendingTokens: 60_000, running: 3, heldTokens: 0 } }
    expect(placeGeneration(choiceOf([{ ...idle, others: { pendingTokens: 0, running: 0, heldTokens: 0 } }, busy]))).toMatchObject({ id: 'a', backlogTokens: 0 })
  })

  it('leaves the home endpoint when the first token would come late there, at a backlog that is else no reason', () => {
    const others = { pendingTokens: 15_000, running: 0, heldTokens: 0 }
    const candidates = [{ ...idle, others: { ...others, pendingTokens: 0 } }, { ...idle, id: 'b', others }]
    expect(placeGeneration(choiceOf(candidates, { objectiveMs: 2000 }))?.id).toBe('b')
    expect(placeGeneration(choiceOf(candidates, { objectiveMs: 350 }))?.id).toBe('a')
  })

  it('prefers an endpoint that has the shared parts cached', () => {
    expect(placeGeneration(choiceOf([{ ...idle, cachedTokens: 5000 }, { ...idle, id: 'b' }], { homeId: 'c' }))?.id).toBe('a')
  })

  it('avoids a failing endpoint, but uses it when there is no other', () => {
    const failing = { ...idle, id: 'b', isAvoided: true, failureShare: 1 }
    expect(placeGeneration(choiceOf([idle, failing]))?.id).toBe('a')
    expect(placeGeneration(choiceOf([failing]))?.id).toBe('b')
  })

  it('does not send a request to the same endpoint twice', () => {
    expect(placeGeneration(choiceOf([idle], { tried: new Set(['a']) }))).toBeUndefined()
  })

  it('leaves an endpoint whose memory is nearly full, where requests would be preempted', () => {
    expect(placeGeneration(choiceOf([idle, { ...idle, id: 'b', heldTokens: 450_000 }]))?.id).toBe('a')
  })
})

describe('placeCall', () => {
  const candidate: CallCandidate = { id: 'a', slots: 6, running: 0, meanMs: 20, failureShare: 0, isAvoided: false, isLocal: true }
  const random = (): (() => number) => {
    let state = 0
    return () => { state = (state + 0.37) % 1; return state }
  }

  it('spreads calls over equal endpoints', () => {
    const next = random()
    const chosen = Array.from({ length: 40 }, () => placeCall([candidate, { ...candidate, id: 'b' }, { ...candidate, id: 'c' }], new Set(), next))
    expect(new Set(chosen).size).toBe(3)
  })

  it('sends fewer calls to a slow endpoint', () => {
    const next = random()
    const slow = { ...candidate, id: 'b', meanMs: 100 }
    const chosen = Array.from({ length: 60 }, () => placeCall([candidate, slow], new Set(), next))
    expect(chosen.filter(id => id === 'b').length).toBeLessThan(20)
  })

  it('returns no endpoint when all were tried', () => {
    expect(placeCall([candidate], new Set(['a']), random())).toBeUndefined()
  })
})

describe('EndpointHealth', () => {
  it('avoids an endpoint after consecutive failures and tries it again later', () => {
    const health = new EndpointHealth(0)
    for (let request = 0; request < 3; request++) health.recordOutcome(true, 0)
    expect(health.isAvoided(0)).toBe(true)
    expect(health.isAvoided(3000)).toBe(false)
  })

  it('does not avoid an endpoint for a few failures among successes', () => {
    const health = new EndpointHealth(0)
    for (let request = 0; request < 50; request++) health.recordOutcome(request % 7 === 0, request)
    expect(health.isAvoided(50)).toBe(false)
  })
})

describe('PrefixHistory', () => {
  const parts = [{ id: 'x', tokens: 100 }, { id: 'y', tokens: 50 }]

  it('counts a part only if all before it are cached', () => {
    const history = new PrefixHistory()
    history.recordUse([parts[1]!], 0)
    expect(history.cachedTokens(parts, 0)).toBe(0)
    history.recordUse(parts, 0)
    expect(history.cachedTokens(parts, 0)).toBe(150)
  })

  it('does not count parts whose last use is longer ago than the retention', () => {
    const history = new PrefixHistory()
    history.recordUse(parts, 0)
    expect(history.cachedTokens(parts, 60_000)).toBe(0)
  })
})

describe('PrefillSpeed', () => {
  const speed = (samples: readonly { readTokens: number, backlogTokens: number | undefined, firstTokenMs: number }[], count: number): number => {
    const learned = new PrefillSpeed()
    for (let index = 0; index < count; index++) learned.record(samples[index % samples.length]!)
    return learned.tokensPerMs
  }

  it('learns the speed from long prompts at idle engines', () => {
    expect(speed([{ readTokens: 8400, backlogTokens: 0, firstTokenMs: 80 }], 40)).toBeCloseTo(140, -1.5)
  })

  it('is not misled by some prompts that waited', () => {
    const idleSample = { readTokens: 8400, backlogTokens: 0, firstTokenMs: 80 }
    expect(speed([idleSample, { ...idleSample, firstTokenMs: 2000 }, idleSample], 90)).toBeGreaterThan(110)
  })

  it('takes no sample from short prompts, busy engines or without the load of the others, and stays within bounds', () => {
    const sample = { readTokens: 8400, backlogTokens: 0, firstTokenMs: 80 }
    const initial = new PrefillSpeed().tokensPerMs
    for (const ignored of [{ ...sample, readTokens: 1000 }, { ...sample, backlogTokens: 3000 }, { ...sample, backlogTokens: undefined }]) expect(speed([ignored], 20)).toBe(initial)
    expect(speed([{ ...sample, firstTokenMs: 0 }], 200)).toBe(500)
    expect(speed([{ ...sample, firstTokenMs: 60_000 }], 200)).toBe(10)
  })
})
