/** Registry of the benches by the name under which the command line runs them. */
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
  /** Returns one JSON-serialisable object of figures; the key of a figure names its unit. */
  run (options: BenchOptions): Promise<object> | object
}

/** Simulated rollouts per strategy. */
const rolloutVersions = 200

export const benches: Readonly<Record<string, Bench>> = {
  budget: {
    summary: 'overspend, false refusals and platform calls of the budget ledger, compared with fixed equal slices',
    run: options => benchBudgets(options)
  },
  capacity: {
    summary: 'growth of memory, bytes and processor time with the size of the fleet',
    run: () => benchCapacity()
  },
  config: {
    summary: 'seconds until a configuration change reaches the last of 50 processes, also with one failure domain cut off from the platform',
    run: () => runConfigBench()
  },
  overhead: {
    summary: 'throughput, latency and processor time of requests through router and endpoint process, compared with direct calls of the back end',
    run: () => benchOverhead()
  },
  retries: {
    summary: 'attempts per request when half of the endpoints fail, with and without the retry budget',
    run: ({ seed }) => benchRetries({ seed })
  },
  rollout: {
    summary: 'rollouts of seeded good and bad versions by the chosen strategy, compared with a fixed canary',
    run: ({ seed }) => runRolloutBench(seed, rolloutVersions)
  },
  routing: {
    summary: 'time to the first token and refusals by load, for the chosen policy, round robin and least in flight',
    run: ({ seed }) => benchRouting({ seed })
  },
  'slow-readers': {
    summary: 'memory per slow reader, and the time between tokens of fast readers with and without 200 slow readers',
    run: () => benchSlowReaders()
  }
}
