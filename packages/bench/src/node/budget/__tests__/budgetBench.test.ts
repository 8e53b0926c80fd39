import { describe, expect, it } from 'vitest'
import { defaultBudgetLimits } from '@buckthorndrift/policy'
import { FixedSlices } from '../fixedSlices.ts'
import { LedgerPolicy } from '../ledgerPolicy.ts'
import { generateLoad } from '../load.ts'
import { simulate } from '../simulate.ts'

const fleetOptions = { routers: 8, failureDomains: 4, regions: 2, shards: 2, budgets: new Map([['a', 40_000], ['b', 9000]]), seed: 1 }
const load = generateLoad({ seed: 1, routers: 8, requestsPerSecond: 20, durationMs: 20_000, budgets: ['a', 'b'], skew: 0.5 })
const common = {
  fleet: fleetOptions,
  load,
  durationMs: 40_000,
  faults: { partitionIntervalMs: [4000, 9000], crashAtMs: 6000, deregistrationDelayMs: 3000 } as const,
  chooseCrashingRouter: (fleet: { readonly nodes: readonly { readonly id: string, readonly failureDomain: string, readonly region: number }[] }) => fleet.nodes[0] ?? { id: '', failureDomain: '', region: 0 }
}

describe('budget bench', () => {
  it('gives the same figures for the same seed, so that runs of different versions are comparable', () => {
    const run = () => simulate({ ...common, createPolicy: fleet => new LedgerPolicy(fleet, defaultBudgetLimits) })
    expect(run()).toEqual(run())
  })

  it('does not overspend under either policy while regions are partitioned and a router crashes', () => {
    const chosen = simulate({ ...common, createPolicy: fleet => new LedgerPolicy(fleet, defaultBudgetLimits) })
    const baseline = simulate({ ...common, createPolicy: fleet => new FixedSlices(fleet, 15_000) })
    expect([chosen.overspendTokens, baseline.overspendTokens]).toEqual([0, 0])
    expect(chosen.requests).toBe(baseline.requests)
  })
})
