import { describe, expect, it } from 'vitest'
import { runConfigBench } from '../configBench.ts'

describe('config bench', () => {
  it('delivers every change to every holder in each scenario, including endpoint processes that start before the routers', async () => {
    const { scenarios } = await runConfigBench({ holders: 12, failureDomains: 2, changes: 1, quietMs: 100, seed: 3 })
    expect(scenarios.map(({ scenario, missed }) => [scenario, missed])).toEqual([
      ['allConnected', 0], ['oneDomainCutOffFromPlatform', 0], ['everyProcessWatches', 0]
    ])
    expect(scenarios[2]?.platformReadsPerChange).toBeGreaterThan(scenarios[0]?.platformReadsPerChange ?? Infinity)
  })
})
