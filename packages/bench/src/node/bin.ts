/** Command line of the benches: `npm run bench -- NAME` runs one bench, `npm run soak` runs randomised tests of the budget ledger. */
import { binary, command, number, option, optional, positional, run, string, subcommands } from 'cmd-ts'
import { benches } from './benches.ts'
import { soakBudgets } from './soak/budgetSoak.ts'

const defaultSeed = 1
const defaultSoakRuns = 20

const seed = option({ type: number, long: 'seed', defaultValue: () => defaultSeed, description: 'Seed of the random number generator.' })

function listBenches (): string {
  return Object.entries(benches).map(([name, bench]) => `  ${name.padEnd(14)}${bench.summary}\n`).join('')
}

const benchCommand = command({
  name: 'bench',
  description: 'Run one bench and print its figures as one JSON object on the last line.',
  args: {
    seed,
    name: positional({ type: optional(string), displayName: 'name', description: 'Name of the bench; without a name, all benches are listed.' })
  },
  async handler ({ name, seed }) {
    if (name === undefined) return process.stdout.write(`benches:\n${listBenches()}`)
    const bench = Object.hasOwn(benches, name) ? benches[name] : undefined
    if (bench === undefined) {
      process.stderr.write(`unknown bench "${name}"; available benches:\n${listBenches()}`)
      process.exitCode = 2
      return
    }
    const figures = await bench.run({ seed })
    process.stdout.write(`${JSON.stringify(figures)}\n`)
  }
})

const soakCommand = command({
  name: 'soak',
  description: 'Run randomised tests of the budget ledger with injected faults and print each failing seed.',
  args: {
    seed,
    runs: option({ type: number, long: 'runs', defaultValue: () => defaultSoakRuns, description: 'Number of consecutive seeds, starting with the value of --seed.' })
  },
  handler ({ seed, runs }) {
    const failures = soakBudgets(seed, runs, line => { process.stdout.write(`${line}\n`) })
    process.stdout.write(`${runs - failures.length} passed, ${failures.length} failed\n`)
    if (failures.length > 0) process.exitCode = 1
  }
})

await run(binary(subcommands({ name: 'bench', cmds: { bench: benchCommand, soak: soakCommand } })), process.argv)
