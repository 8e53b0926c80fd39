/** Command line that runs a stand-in as a process. Prints `listening <url>` on one line when it accepts connections. */
import { binary, command, number, option, optional, run, subcommands } from 'cmd-ts'
import { startEngine } from './engine.ts'
import { startObjectApi } from './objectApi.ts'
import { startPlainService } from './plainService.ts'

const port = option({ type: optional(number), long: 'port', description: 'Port on loopback; a free port by default.' })

interface RunningStandIn {
  readonly url: string
  close (): Promise<void>
}

async function runUntilSignal (starting: Promise<RunningStandIn>): Promise<void> {
  const running = await starting
  process.stdout.write(`listening ${running.url}\n`)
  const stop = (): void => { running.close().then(() => { process.exit(0) }, () => { process.exit(1) }) }
  process.once('SIGTERM', stop)
  process.once('SIGINT', stop)
}

const objectApi = command({
  name: 'object-api',
  description: 'Stand-in for the platform\'s object API and VM list.',
  args: { port },
  handler: args => runUntilSignal(startObjectApi(withoutUndefined(args)))
})

const hardLimit = option({ type: optional(number), long: 'hard-limit', description: 'Maximum of requests in progress; one more crashes the stand-in.' })
const seed = option({ type: optional(number), long: 'seed', description: 'Seed of the random faults.' })

/** Removes options without a value, so that the defaults of the stand-in apply. */
function withoutUndefined<Options extends Readonly<Record<string, number | undefined>>> (options: Options): { readonly [Name in keyof Options]?: number } {
  return Object.fromEntries(Object.entries(options).filter(([, value]) => value !== undefined)) as { [Name in keyof Options]?: number }
}

const engine = command({
  name: 'engine',
  description: 'Stand-in for a model engine.',
  args: {
    port,
    hardLimit,
    seed,
    batchLimit: option({ type: optional(number), long: 'batch-limit', description: 'Maximum of requests decoded at the same time.' }),
    stepMs: option({ type: optional(number), long: 'step-ms', description: 'Duration of a decoding step before the share of each request is added.' })
  },
  handler: args => runUntilSignal(startEngine(withoutUndefined(args)))
})

const plain = command({
  name: 'plain',
  description: 'Stand-in for a plain service with bookings and chamber readings.',
  args: { port, hardLimit, seed, delayMs: option({ type: optional(number), long: 'delay-ms', description: 'Duration of a request.' }) },
  handler: args => runUntilSignal(startPlainService(withoutUndefined(args)))
})

const standIns = subcommands({ name: 'standins', cmds: { 'object-api': objectApi, engine, plain } })

run(binary(standIns), process.argv).catch((error: unknown) => {
  process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`)
  process.exitCode = 1
})
