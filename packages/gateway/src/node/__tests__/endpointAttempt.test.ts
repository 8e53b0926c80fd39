import type { Observation } from '@buckthorndrift/policy'
import { beforeEach, describe, expect, it } from 'vitest'
import { EndpointAttempt } from '../endpointAttempt.ts'
import { TrackedEndpoint } from '../trackedEndpoints.ts'

describe('EndpointAttempt', () => {
  const entry = { id: 'e1', service: 'engine', address: '127.0.0.1:1', failureDomain: 'a', version: 'v1', slots: 8, isDraining: false, startedAtMs: 0, sequence: 1, coldRemainingMs: 0 }
  let observations: Observation[]
  let attempt: EndpointAttempt

  beforeEach(() => {
    observations = []
    attempt = new EndpointAttempt(new TrackedEndpoint(entry, 0, () => {}), {
      generation: { promptTokens: 100, maxOutputTokens: 50, prompt: [] }, uncachedTokens: 100, estimateMs: 10, nowMs: 0, onObservation: observation => { observations.push(observation) }
    })
  })

  it('reports the latency and the time between events of a stream before the stream ends', () => {
    attempt.recordFirstByte(100)
    for (let event = 0; event <= 20; event++) attempt.recordEvents(1, 100 + event * 40)
    expect(observations).toEqual([{ kind: 'latency', durationMs: 100 }, { kind: 'eventGap', durationMs: 40 }])
    attempt.end(true, 900)
    expect(observations.slice(2)).toEqual([{ kind: 'completed' }])
  })

  it('reports how long a caller waited that left before the first event, if that exceeds the objective', () => {
    attempt.endAbandoned(400, 2000)
    expect(observations).toEqual([{ kind: 'latency', durationMs: 2000 }])
  })

  it('says nothing about the endpoint when the caller left before the objective', () => {
    attempt.endAbandoned(400, 300)
    expect(observations).toEqual([])
  })

  it('reports the least time between events of a stream that its caller left', () => {
    attempt.recordFirstByte(100)
    attempt.recordEvents(1, 100)
    attempt.recordEvents(1, 700)
    attempt.endAbandoned(400, 2700)
    expect(observations.at(-1)).toEqual({ kind: 'eventGap', durationMs: 1300 })
  })
})
