/** `npm run bench -- NAME` runs one bench; `npm run soak` runs randomised runs. */
import { binary, command, number, option, optional, positional, run, string, subcommands } from 'cmd-ts'
import { benches } from './benches.ts'

const defaultSeed = 1

const seed = option({ type: number, long: 'seed', defaultValue: () => defaultSeed, description: 'Seed of all random numbers.' })

function listBenches (): string {
  return Object.entries(benches).map(([name, bench]) => `  ${name.padEnd(14)}${bench.summary}\n`).join('')
}

const benchCommand = command({
  name: 'bench',
  description: 'Run one measurement and print one JSON object as the last line.',
  args: {
    seed,
    name: positional({ type: optional(string), displayName: 'name', description: 'Name of the bench; without one, the names are listed.' })
  },
  async handler ({ name, seed }) {
    if (name === undefined) return process.stdout.write(`benches:\n${listBenches()}`)
    const bench = Object.hasOwn(benches, name) ? benches[name] : undefined
    if (bench === undefined) {
      process.stderr.write(`there is no bench "${name}"; the names are:\n${listBenches()}`)
      process.exitCode = 2
      return
    }
    const figures = await bench.run({ seed })
    process.stdout.write(`${JSON.stringify(figures)}\n`)
  }
})

await run(binary(subcommands({ name: 'bench', cmds: { bench: benchCommand } })), process.argv)
