/** Runs a stand-in as a process of its own; prints `listening <url>` on one line. */
import { binary, command, number, option, optional, run, subcommands } from 'cmd-ts'
import { startObjectApi } from './objectApi.ts'

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
  handler: args => serve(startObjectApi(args.port === undefined ? {} : { port: args.port }))
})

const standIns = subcommands({ name: 'standins', cmds: { 'object-api': objectApi } })

run(binary(standIns), process.argv).catch((error: unknown) => {
  process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`)
  process.exitCode = 1
})
