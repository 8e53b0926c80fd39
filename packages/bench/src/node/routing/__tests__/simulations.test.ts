import { describe, expect, it } from 'vitest'
import { benchRetries } from '../../retries/index.ts'
import { benchRouting } from '../index.ts'

describe('simulated benches', () => {
  it('give the same routing figures for the same seed, so that runs of different versions are comparable', async () => {
    const options = { seed: 5, durationMs: 5000 }
    expect(await benchRouting(options)).toEqual(await benchRouting(options))
  })

  it('stay below 1.15 attempts per request with the retry budget while half of the endpoints fail', async () => {
    const { results } = await benchRetries({ requests: 5000 })
    for (const { hasBudget, amplification } of results) if (hasBudget) expect(amplification).toBeLessThan(1.15)
  })
})
