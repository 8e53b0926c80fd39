/**
 * Benchmark of the budget ledger on simulated time: fixed equal slices per
 * router against the chosen policy, with the same seed and load.
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
  /** False refusals of the chosen policy over those of the baseline; 0 when neither has any. */
  readonly falseRefusalRatio: number
  /** Platform writes of the chosen policy over those of the baseline. */
  readonly writesRatio: number
}

export type BudgetBenchFigures = Readonly<Record<'largeBudget' | 'manySmall' | 'partitionAndDeath', ScenarioFigures>>

const durationMs = 120_000
const fleetShape = { routers: 40, failureDomains: 8, regions: 2, shards: 16 }

/** Tokens of an average request, by which grants are sized. */
const averageTokens = 235

function budgetsOf (prefix: string, count: number, tokens: number): readonly (readonly [string, number])[] {
  return Array.from({ length: count }, (_, index) => [`${prefix}${index}`, tokens] as const)
}

/** Each grant covers about four fifths of the demand, so that the end of the budgets is part of the run. */
const scenarios: Readonly<Record<keyof BudgetBenchFigures, Scenario>> = {
  largeBudget: { budgets: new Map([['large', 0.8 * 250 * 120 * averageTokens]]), requestsPerSecond: 250 },
  manySmall: { budgets: new Map(budgetsOf('small', 600, Math.round(0.8 * 60 * averageTokens))), requestsPerSecond: 300 },
  partitionAndDeath: {
    budgets: new Map([...budgetsOf('small', 300, Math.round(0.8 * 80 * averageTokens))]),
    requestsPerSecond: 200,
    faults: { partitionMs: [40_000, 70_000], deathMs: 50_000, unregisterMs: 10_000 }
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
    // The home of the most used budget dies, which strands more than any other router.
    victim: (fleet: { readonly places: readonly { readonly id: string, readonly failureDomain: string, readonly region: number }[] }) => {
      const collector = homesOf(shardOf(budgets[0] ?? '', fleetShape.shards), '', fleet.places).collector
      return fleet.places.find(place => place.id === collector) ?? fleet.places[0] ?? { id: '', failureDomain: '', region: 0 }
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

/** Runs the three scenarios. All figures come from simulated time and are the same for the same seed. */
export function benchBudgets ({ seed }: { readonly seed: number }, limits: BudgetLimits = defaultBudgetLimits): BudgetBenchFigures {
  return {
    largeBudget: runScenario(scenarios.largeBudget, seed, limits),
    manySmall: runScenario(scenarios.manySmall, seed, limits),
    partitionAndDeath: runScenario(scenarios.partitionAndDeath, seed, limits)
  }
}
