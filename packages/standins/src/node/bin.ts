/** Runs a stand-in as a process of its own; prints `listening <url>` on one line. */
import { binary, command, number, option, optional, run, subcommands } from 'cmd-ts'
import { startEngine } from './engine.ts'
import { startObjectApi } from './objectApi.ts'
import { startPlainService } from './plainService.ts'

const port = option({ type: optional(number), long: 'port', description: 'Port on loopback; a free one when absent.' })

interface Running {
  readonly url: string
  close (): Promise<void>
}

async function serve (starting: Promise<Running>): Promise<void> {
  const running = await starting
  process.stdout.write(`listening ${running.url}\n`)
  const stop = (): void => { running.close().then(() => { process.exit(0) }, () => { process.exit(1) }) }
  process.once('SIGTERM', stop)
  process.once('SIGINT', stop)
}

const objectApi = command({
  name: 'object-api',
  description: 'The platform\'s object API and list of VMs.',
  args: { port },
  handler: args => serve(startObjectApi(given(args)))
})

const hardLimit = option({ type: optional(number), long: 'hard-limit', description: 'Requests held; one more makes it fall over.' })
const seed = option({ type: optional(number), long: 'seed', description: 'Seed of random faults.' })

/** Leaves out options that were not given, so that their defaults apply. */
function given<Options extends Readonly<Record<string, number | undefined>>> (options: Options): { readonly [Name in keyof Options]?: number } {
  return Object.fromEntries(Object.entries(options).filter(([, value]) => value !== undefined)) as { [Name in keyof Options]?: number }
}

const engine = command({
  name: 'engine',
  description: 'A model engine.',
  args: {
    port,
    hardLimit,
    seed,
    batchLimit: option({ type: optional(number), long: 'batch-limit', description: 'Requests decoded at the same time.' }),
    stepMs: option({ type: optional(number), long: 'step-ms', description: 'Duration of a decoding step of an empty batch.' })
  },
  handler: args => serve(startEngine(given(args)))
})

const plain = command({
  name: 'plain',
  description: 'A plain service with bookings and chamber readings.',
  args: { port, hardLimit, seed, delayMs: option({ type: optional(number), long: 'delay-ms', description: 'Duration of a request.' }) },
  handler: args => serve(startPlainService(given(args)))
})

const standIns = subcommands({ name: 'standins', cmds: { 'object-api': objectApi, engine, plain } })

run(binary(standIns), process.argv).catch((error: unknown) => {
  process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`)
  process.exitCode = 1
})
