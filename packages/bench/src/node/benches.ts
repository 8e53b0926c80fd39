/** The benches by name. */
import { runRolloutBench } from './rollout/rolloutBench.ts'

export interface BenchOptions {
  readonly seed: number
}

export interface Bench {
  readonly summary: string
  /** Resolves with one object of figures, whose names carry their unit. */
  run (options: BenchOptions): Promise<object> | object
}

const rolloutVersions = 200

export const benches: Readonly<Record<string, Bench>> = {
  rollout: {
    summary: 'seeded versions moved over by the chosen strategy and by a fixed canary',
    run: ({ seed }) => runRolloutBench(seed, rolloutVersions)
  }
}
