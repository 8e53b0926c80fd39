import { describe, expect, it } from 'vitest'
import { EndpointHealth, placeCall, placeGeneration, PrefixHistory, type CallCandidate, type GenerationCandidate, type GenerationChoice } from '../index.ts'

const idle: GenerationCandidate = {
  id: 'a', cachedTokens: 0, pendingTokens: 0, running: 0, heldTokens: 0, capacityTokens: 500_000, failureShare: 0, isAvoided: false, excessMs: 0
}

function choiceOf (candidates: readonly GenerationCandidate[], changes: Partial<GenerationChoice> = {}): GenerationChoice {
  return { candidates, promptTokens: 6000, homeId: 'b', sharedTokens: 5000, tried: new Set(), ...changes }
}

describe('placeGeneration', () => {
  it('sends a prompt to the endpoint that every router prefers for its shared part', () => {
    expect(placeGeneration(choiceOf([idle, { ...idle, id: 'b' }]))?.id).toBe('b')
  })

  it('leaves that endpoint when much waits there already', () => {
    expect(placeGeneration(choiceOf([idle, { ...idle, id: 'b', pendingTokens: 60_000 }]))?.id).toBe('a')
  })

  it('does not move for a short wait, because the shared part would be read again', () => {
    expect(placeGeneration(choiceOf([idle, { ...idle, id: 'b', pendingTokens: 4000 }]))?.id).toBe('b')
  })

  it('goes where the parts are cached', () => {
    expect(placeGeneration(choiceOf([{ ...idle, cachedTokens: 5000 }, { ...idle, id: 'b' }], { homeId: 'c' }))?.id).toBe('a')
  })

  it('avoids a failing endpoint, and uses it when there is no other', () => {
    const failing = { ...idle, id: 'b', isAvoided: true, failureShare: 1 }
    expect(placeGeneration(choiceOf([idle, failing]))?.id).toBe('a')
    expect(placeGeneration(choiceOf([failing]))?.id).toBe('b')
  })

  it('does not send a request twice to one endpoint', () => {
    expect(placeGeneration(choiceOf([idle], { tried: new Set(['a']) }))).toBeUndefined()
  })

  it('leaves an endpoint whose memory fills up, where running requests would be preempted', () => {
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

  it('sends less to a slow endpoint', () => {
    const next = random()
    const slow = { ...candidate, id: 'b', meanMs: 100 }
    const chosen = Array.from({ length: 60 }, () => placeCall([candidate, slow], new Set(), next))
    expect(chosen.filter(id => id === 'b').length).toBeLessThan(20)
  })

  it('has no place when all endpoints were tried', () => {
    expect(placeCall([candidate], new Set(['a']), random())).toBeUndefined()
  })
})

describe('EndpointHealth', () => {
  it('avoids an endpoint after a run of failures and tries it again later', () => {
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

  it('forgets parts that were not used for long', () => {
    const history = new PrefixHistory()
    history.recordUse(parts, 0)
    expect(history.cachedTokens(parts, 60_000)).toBe(0)
  })
})
