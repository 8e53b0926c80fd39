/** `buckthorndrift check` and `buckthorndrift apply` */
import { readFileSync } from 'node:fs'
import { createInterface } from 'node:readline/promises'
import { setTimeout as delay } from 'node:timers/promises'
import { command, flag, number, option, optional, positional, string } from 'cmd-ts'
import { Err, Ok, type Result } from 'ts-results-es'
import type { OutputOf } from '@buckthorndrift/admin'
import { parseFleetText } from '@buckthorndrift/policy'
import { exitCodes, type ExitCode } from '../../shared/exitCodes.ts'
import { formatTime } from '../../shared/times.ts'
import { connectionArgs, jsonArg, withConnection, type Connection, type ConnectionFlags } from '../connection.ts'
import { createProgress, print, printError, printJson } from '../output.ts'

type CheckResult = OutputOf<'checkFleet'>
type Change = CheckResult['changes'][number]

const fileArg = positional({ displayName: 'file', type: string, description: 'file with the fleet text; - reads standard input' })
const pollIntervalMs = 500

function readText (file: string): Result<string, ExitCode> {
  try {
    return Ok(readFileSync(file === '-' ? 0 : file, 'utf8'))
  } catch (error) {
    printError(`The fleet text cannot be read: ${(error as Error).message}`)
    return Err(exitCodes.usage)
  }
}

/** Prints one `file:line:column` line per problem, a form that editors and terminals link to the source. */
function printProblems (file: string, problems: CheckResult['problems']): void {
  for (const { line, column, reason } of problems) printError(`${file}:${line}:${column}: ${reason}`)
  printError(`The text is refused as a whole: ${problems.length} ${problems.length === 1 ? 'problem' : 'problems'}. Nothing was changed.`)
}

function formatValue (part: string, value: string | undefined): string {
  if (value === undefined) return ''
  return part.endsWith(' moveByMs') ? formatTime(Number(value)) : value === '' ? '(none)' : value
}

function formatChange ({ kind, part, before, after }: Change): string {
  const name = part.replace(/ moveByMs$/, ' moveBy')
  switch (kind) {
    case 'added': return `+ ${name}: ${formatValue(part, after)}`
    case 'removed': return `- ${name}: ${formatValue(part, before)}`
    case 'changed': return `~ ${name}: ${formatValue(part, before)} -> ${formatValue(part, after)}`
  }
}

function printChanges (changes: readonly Change[], version: number, show: (text: string) => void): void {
  if (changes.length === 0) return show(`No change in meaning against version ${version}.`)
  show(`Changes against version ${version}:`)
  for (const change of changes) show(`  ${formatChange(change)}`)
}

/** Checks a fleet text without a router, for example before a commit. The deadlines of the fleet text in force are not known, so each deadline is checked as if it were new. */
function checkLocally (file: string, text: string, json: boolean): ExitCode {
  const parsed = parseFleetText(text, { nowMs: Date.now(), inForce: undefined })
  const problems = parsed.isErr() ? [...parsed.error] : []
  if (json) printJson({ problems })
  else if (problems.length > 0) printProblems(file, problems)
  else print('The text is valid.')
  return problems.length > 0 ? exitCodes.failed : exitCodes.done
}

export const checkCommand = command({
  name: 'check',
  description: 'Check a fleet text and show what it would change, without applying it.',
  args: {
    file: fileArg,
    local: flag({ long: 'local', description: 'check without a router and show no changes' }),
    json: jsonArg,
    ...connectionArgs
  },
  examples: [
    { description: 'show what a text would change', command: 'buckthorndrift check fleet.yaml' },
    { description: 'check before a commit', command: 'buckthorndrift check fleet.yaml --local' }
  ],
  handler: ({ file, local, json, ...connection }) => {
    const text = readText(file)
    if (text.isErr()) return text.error
    return local ? checkLocally(file, text.value, json) : checkWithRouter(connection, file, text.value, json)
  }
})

function checkWithRouter (flags: ConnectionFlags, file: string, text: string, json: boolean): Promise<ExitCode> {
  return withConnection(flags, async ({ call }) => {
    const checked = await call('checkFleet', { text })
    if (checked.isErr()) return checked.error
    const { problems, changes, version } = checked.value
    if (json) printJson(checked.value)
    else if (problems.length > 0) printProblems(file, problems)
    else printChanges(changes, version, print)
    return problems.length > 0 ? exitCodes.failed : exitCodes.done
  })
}

async function askForConfirmation (): Promise<Result<boolean, ExitCode>> {
  if (!process.stdin.isTTY) {
    printError('Cannot ask for confirmation, because standard input is not a terminal. Add --yes to apply without confirmation.')
    return Err(exitCodes.usage)
  }
  const prompt = createInterface({ input: process.stdin, output: process.stderr })
  const answer = await prompt.question('Apply? [y/N] ')
  prompt.close()
  return Ok(/^y(es)?$/i.test(answer.trim()))
}

type Followers = OutputOf<'listFollowers'>

/** Returns the processes that do not hold `version` yet, without endpoint processes that do not report a version. */
function findLaggingProcesses ({ followers }: Followers, version: number): Followers['followers'] {
  return followers.filter(follower => follower.state !== 'notReported' && (follower.version ?? 0) < version)
}

async function waitForFollowers (connection: Connection, version: number, limitS: number): Promise<ExitCode> {
  const progress = createProgress()
  const endMs = Date.now() + limitS * 1000
  while (true) {
    const listed = await connection.call('listFollowers', {})
    if (listed.isErr()) return listed.error
    const lagging = findLaggingProcesses(listed.value, version)
    const notReportedCount = listed.value.followers.filter(follower => follower.state === 'notReported').length
    const reportedCount = listed.value.followers.length - notReportedCount
    const note = notReportedCount === 0 ? '' : `; ${notReportedCount} endpoint ${notReportedCount === 1 ? 'process does' : 'processes do'} not report a version`
    progress.show(`${reportedCount - lagging.length} of ${reportedCount} processes follow version ${version}${note}`)
    if (lagging.length === 0 && reportedCount > 0) {
      progress.end()
      return exitCodes.done
    }
    if (Date.now() >= endMs) {
      progress.end()
      printError(`After ${limitS} s these processes do not follow the text: ${lagging.map(({ id, state }) => `${id} (${state})`).join(', ')}`)
      printError('The text is applied. Processes that other processes can reach still receive it; check buckthorndrift status.')
      return exitCodes.failed
    }
    await delay(pollIntervalMs)
  }
}

export const applyCommand = command({
  name: 'apply',
  description: 'Apply a fleet text: show the changes, ask for confirmation, and write it unless another operator applied one in the meantime.',
  args: {
    file: fileArg,
    yes: flag({ long: 'yes', short: 'y', description: 'apply without confirmation' }),
    wait: flag({ long: 'wait', description: 'wait until every process follows the text' }),
    waitLimit: option({ long: 'wait-limit', type: number, defaultValue: () => 30, description: 'seconds after which --wait fails (default: 30)' }),
    expectedVersion: option({ long: 'expected-version', type: optional(number), description: 'fail with exit code 3 unless this is the present version (default: the version that the changes are shown against)' }),
    json: jsonArg,
    ...connectionArgs
  },
  examples: [
    { description: 'show the changes and ask for confirmation', command: 'buckthorndrift apply fleet.yaml' },
    { description: 'apply in a script and wait until every process follows', command: 'buckthorndrift apply fleet.yaml --yes --wait' }
  ],
  handler: ({ file, yes, wait, waitLimit, expectedVersion, json, ...flags }) => withConnection(flags, async connection => {
    const text = readText(file)
    if (text.isErr()) return text.error
    const checked = await connection.call('checkFleet', { text: text.value })
    if (checked.isErr()) return checked.error
    const { problems, changes, version } = checked.value
    if (problems.length > 0) {
      if (json) printJson(checked.value)
      else printProblems(file, problems)
      return exitCodes.failed
    }
    printChanges(changes, version, json ? printError : print)
    const confirmed = yes ? Ok(true) : await askForConfirmation()
    if (confirmed.isErr()) return confirmed.error
    if (!confirmed.value) {
      printError('Nothing was applied.')
      return exitCodes.failed
    }
    const applied = await connection.call('applyFleet', { text: text.value, expectedVersion: expectedVersion ?? version })
    if (applied.isErr()) return applied.error
    if (json) printJson(applied.value)
    else print(`Applied as version ${applied.value.version}.`)
    return wait ? waitForFollowers(connection, applied.value.version, waitLimit) : exitCodes.done
  })
})
