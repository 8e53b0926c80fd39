/**
 * Bench `budget`: compares the budget ledger (`chosen`) with fixed equal slices
 * per router (`baseline`) in simulated time, with the same seed and load.
 */
import { defaultBudgetLimits, homesOf, shardOf, type BudgetLimits } from '@buckthorndrift/policy'
import { FixedSlices } from './fixedSlices.ts'
import { LedgerPolicy } from './ledgerPolicy.ts'
import { generateLoad } from './load.ts'
import { simulate, type Faults, type SimulationFigures } from './simulate.ts'

interface Scenario {
  readonly budgets: ReadonlyMap<string, number>
  readonly requestsPerSecond: number
  readonly faults?: Faults
}

export interface ScenarioFigures {
  readonly baseline: SimulationFigures
  readonly chosen: SimulationFigures
  /** Share of false refusals of the ledger divided by that of the baseline; 0 when the baseline has none. */
  readonly falseRefusalRatio: number
  /** Platform writes per second of the ledger divided by those of the baseline. */
  readonly writesRatio: number
}

export type BudgetBenchFigures = Readonly<Record<'largeBudget' | 'manySmall' | 'partitionAndDeath', ScenarioFigures>>

const durationMs = 120_000
const fleetShape = { routers: 40, failureDomains: 8, regions: 2, shards: 16 }

/** Average tokens of a request, from which the granted tokens of each scenario are derived. */
const meanRequestTokens = 235

function createBudgets (prefix: string, count: number, tokens: number): readonly (readonly [string, number])[] {
  return Array.from({ length: count }, (_, index) => [`${prefix}${index}`, tokens] as const)
}

/** Each grant covers about 80 % of the demand, so that budgets run out before the end of a run. */
const scenarios: Readonly<Record<keyof BudgetBenchFigures, Scenario>> = {
  largeBudget: { budgets: new Map([['large', 0.8 * 250 * 120 * meanRequestTokens]]), requestsPerSecond: 250 },
  manySmall: { budgets: new Map(createBudgets('small', 600, Math.round(0.8 * 60 * meanRequestTokens))), requestsPerSecond: 300 },
  partitionAndDeath: {
    budgets: new Map([...createBudgets('small', 300, Math.round(0.8 * 80 * meanRequestTokens))]),
    requestsPerSecond: 200,
    faults: { partitionIntervalMs: [40_000, 70_000], crashAtMs: 50_000, deregistrationDelayMs: 10_000 }
  }
}

function runScenario (scenario: Scenario, seed: number, limits: BudgetLimits): ScenarioFigures {
  const budgets = [...scenario.budgets.keys()]
  const load = generateLoad({ seed, routers: fleetShape.routers, requestsPerSecond: scenario.requestsPerSecond, durationMs, budgets, skew: 0.5 })
  const common = {
    fleet: { ...fleetShape, budgets: scenario.budgets, seed },
    load,
    durationMs,
    ...(scenario.faults === undefined ? {} : { faults: scenario.faults }),
    // The collector of the most used budget crashes, because it strands more tokens than any other router.
    chooseCrashingRouter: (fleet: { readonly nodes: readonly { readonly id: string, readonly failureDomain: string, readonly region: number }[] }) => {
      const collector = homesOf(shardOf(budgets[0] ?? '', fleetShape.shards), '', fleet.nodes).collector
      return fleet.nodes.find(node => node.id === collector) ?? fleet.nodes[0] ?? { id: '', failureDomain: '', region: 0 }
    }
  }
  const baseline = simulate({ ...common, createPolicy: fleet => new FixedSlices(fleet, limits.flushMs) })
  const chosen = simulate({ ...common, createPolicy: fleet => new LedgerPolicy(fleet, limits) })
  return {
    baseline,
    chosen,
    falseRefusalRatio: baseline.falseRefusalShare === 0 ? 0 : chosen.falseRefusalShare / baseline.falseRefusalShare,
    writesRatio: chosen.platformWritesPerSecond / Math.max(0.1, baseline.platformWritesPerSecond)
  }
}

/** Runs the three scenarios in simulated time. The figures are the same for the same seed. */
export function benchBudgets ({ seed }: { readonly seed: number }, limits: BudgetLimits = defaultBudgetLimits): BudgetBenchFigures {
  return {
    largeBudget: runScenario(scenarios.largeBudget, seed, limits),
    manySmall: runScenario(scenarios.manySmall, seed, limits),
    partitionAndDeath: runScenario(scenarios.partitionAndDeath, seed, limits)
  }
}
