/** The command line: parses arguments, runs a command and returns its exit code. */
import { readFileSync } from 'node:fs'
import { runSafely, subcommands } from 'cmd-ts'
import { exitCodes } from '../shared/exitCodes.ts'
import { budgetsCommand, topUpCommand } from './commands/budgets.ts'
import { explainCommand } from './commands/explain.ts'
import { applyCommand, checkCommand } from './commands/fleet.ts'
import { keysCommand, organisationsCommand } from './commands/organisations.ts'
import { drainCommand, rolloutsCommand, servicesCommand, statusCommand } from './commands/processes.ts'
import { billingCommand, refusalsCommand } from './commands/records.ts'
import { routerCommand } from './commands/router.ts'
import { installHelpFormat } from './help.ts'
import { print, printError } from './output.ts'

const { version } = JSON.parse(readFileSync(new URL('../../package.json', import.meta.url), 'utf8')) as { readonly version: string }

const app = subcommands({
  name: 'buckthorndrift',
  version,
  description: 'Router fleet for prepaid token budgets: run a router, or operate the fleet through one.',
  cmds: {
    router: routerCommand,
    check: checkCommand,
    apply: applyCommand,
    status: statusCommand,
    services: servicesCommand,
    rollouts: rolloutsCommand,
    organisations: organisationsCommand,
    keys: keysCommand,
    budgets: budgetsCommand,
    'top-up': topUpCommand,
    refusals: refusalsCommand,
    billing: billingCommand,
    drain: drainCommand,
    explain: explainCommand
  },
  examples: [
    { description: 'show what a fleet text changes, ask for confirmation, and apply it', command: 'buckthorndrift apply fleet.yaml --wait' },
    { description: 'show which requests were refused in the last hour, and why', command: 'buckthorndrift refusals --from 1h' },
    { description: 'explain the outcome of one request', command: 'buckthorndrift explain 9c41d07be2a35f68 router-*.log' }
  ]
})

/** Extracts the exit code: cmd-ts nests the results of subcommands as `{ command, value }`. */
function exitCodeOf (result: unknown): number {
  if (typeof result === 'number') return result
  return typeof result === 'object' && result !== null && 'value' in result ? exitCodeOf(result.value) : exitCodes.done
}

/** Runs the command line and resolves with the exit code. */
export async function runCommandLine (argv: readonly string[]): Promise<number> {
  installHelpFormat()
  const result = await runSafely(app, [...argv])
  if (result._tag === 'ok') return exitCodeOf(result.value)
  const { into, message } = result.error.config
  if (into === 'stdout') {
    print(message)
    return exitCodes.done
  }
  printError(message)
  return exitCodes.usage
}
