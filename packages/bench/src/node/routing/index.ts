/** Bench `routing`: time to the first token and refused share of three ways to choose an endpoint. */
import { createHasher } from '@buckthorndrift/policy'
import type { PolicyName } from './policies.ts'
import { Simulation, scenario, type SimulationResult } from './simulation.ts'

export interface RoutingOptions {
  readonly seed?: number
  /** Simulated time of each run in ms. */
  readonly durationMs?: number
}

export interface RoutingReport {
  readonly seed: number
  readonly durationMs: number
  readonly scenario: typeof scenario
  readonly results: readonly SimulationResult[]
}

const policies: readonly PolicyName[] = ['roundRobin', 'leastInFlight', 'chosen']
const loads = [0.5, 0.9, 1.3]

/** Runs each policy at each load in simulated time; times in ms. */
export async function benchRouting ({ seed = 1, durationMs = 60_000 }: RoutingOptions = {}): Promise<RoutingReport> {
  const hasher = await createHasher()
  const results = loads.flatMap(load => policies.map(policy => new Simulation({ policy, load, seed, durationMs, hasher }).run()))
  return { seed, durationMs, scenario, results }
}
