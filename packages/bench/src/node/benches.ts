/** The benches by name. */
import { benchBudgets } from './budget/index.ts'
import { benchCapacity } from './capacity/index.ts'
import { runConfigBench } from './config/configBench.ts'
import { benchOverhead } from './overhead/index.ts'
import { benchRetries } from './retries/index.ts'
import { runRolloutBench } from './rollout/rolloutBench.ts'
import { benchRouting } from './routing/index.ts'
import { benchSlowReaders } from './slowReaders/index.ts'

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
  budget: {
    summary: 'overspend, false refusals and platform calls of the ledger against fixed equal slices',
    run: options => benchBudgets(options)
  },
  capacity: {
    summary: 'slopes of memory, bytes and processor time against the size of the fleet',
    run: () => benchCapacity()
  },
  config: {
    summary: 'seconds until the last of 50 processes follows a change, also with one group cut off from the platform',
    run: () => runConfigBench()
  },
  overhead: {
    summary: 'throughput, added latency and processor time of the path against the engine called directly',
    run: () => benchOverhead()
  },
  retries: {
    summary: 'attempts per request when half of the endpoints fail, with and without the retry budget',
    run: ({ seed }) => benchRetries({ seed })
  },
  rollout: {
    summary: 'seeded versions moved over by the chosen strategy and by a fixed canary',
    run: ({ seed }) => runRolloutBench(seed, rolloutVersions)
  },
  routing: {
    summary: 'time to the first token and refusals by load, for the chosen policy and two simple ones',
    run: ({ seed }) => benchRouting({ seed })
  },
  'slow-readers': {
    summary: 'memory per slow reader, and the token gap of fast readers with and without 200 slow ones',
    run: () => benchSlowReaders()
  }
}
