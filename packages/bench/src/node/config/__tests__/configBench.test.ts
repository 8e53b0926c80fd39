import { describe, expect, it } from 'vitest'
import { runConfigBench } from '../configBench.ts'

describe('config bench', () => {
  it('reaches every holder in each scenario; a trial missed all endpoint processes that started before the routers', async () => {
    const { scenarios } = await runConfigBench({ holders: 12, failureDomains: 2, changes: 1, quietMs: 100, seed: 3 })
    expect(scenarios.map(({ scenario, missed }) => [scenario, missed])).toEqual([
      ['allConnected', 0], ['oneDomainCutOffFromPlatform', 0], ['everyProcessWatches', 0]
    ])
    expect(scenarios[2]?.platformReadsPerChange).toBeGreaterThan(scenarios[0]?.platformReadsPerChange ?? Infinity)
  })
})
