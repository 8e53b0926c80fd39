/** Soak test: randomised runs of the budget model over many seeds. */
import fc from 'fast-check'
import { runArbitrary, runSteps } from './budgetSteps.ts'

export interface SeedFailure {
  readonly seed: number
  /** Path with which fast-check replays the shrunk failing run. */
  readonly path: string
  readonly message: string
  readonly steps: string
}

/** Runs per seed. */
export const runsPerSeed = 200

/** Checks `runs` random runs of one seed; returns `undefined` when all pass. */
export function checkBudgetSeed (seed: number, runs = runsPerSeed): SeedFailure | undefined {
  const details = fc.check(fc.property(runArbitrary, runSteps), { seed, numRuns: runs })
  if (!details.failed) return undefined
  return {
    seed,
    path: details.counterexamplePath ?? '',
    message: String(details.errorInstance ?? 'unknown error'),
    steps: JSON.stringify(details.counterexample?.[0] ?? [])
  }
}

/** Checks `count` consecutive seeds starting at `firstSeed`, prints each failing seed and returns the failures. */
export function soakBudgets (firstSeed: number, count: number, print: (line: string) => void): readonly SeedFailure[] {
  const failures: SeedFailure[] = []
  for (let seed = firstSeed; seed < firstSeed + count; seed++) {
    const failure = checkBudgetSeed(seed)
    if (failure === undefined) continue
    failures.push(failure)
    print(`budget model: seed ${failure.seed} path ${failure.path}: ${failure.message}; steps ${failure.steps}`)
  }
  print(`budget model: ${count} seeds from ${firstSeed}, ${runsPerSeed} runs each, ${failures.length} failing`)
  return failures
}
