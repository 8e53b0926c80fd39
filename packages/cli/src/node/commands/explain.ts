/** `buckthorndrift explain` */
import { readFileSync } from 'node:fs'
import { command, positional, restPositionals, string } from 'cmd-ts'
import { exitCodes, type ExitCode } from '../../shared/exitCodes.ts'
import { explain, type RequestLine } from '../../shared/explain.ts'
import { jsonArg } from '../connection.ts'
import { print, printError, printJson } from '../output.ts'

const standardInput = 0

function * readLines (files: readonly string[]): Generator<string> {
  for (const file of files.length === 0 ? [standardInput] : files) yield * readFileSync(file, 'utf8').split('\n')
}

const omittedFields: ReadonlySet<string> = new Set(['attemptId', 'node', 'scope', 'event', 'logLevel'])

function formatLine (line: RequestLine): string {
  const fields = Object.entries(line.context)
    .filter(([name, value]) => !omittedFields.has(name) && value !== '' && value !== null)
    .map(([name, value]) => `${name}=${String(value)}`)
  return `  ${new Date(line.atMs).toISOString()} ${line.node} ${line.message}\n    ${fields.join(' ')}`
}

function run (id: string, files: readonly string[], json: boolean): ExitCode {
  const found = explain(id, readLines(files))
  if (found === undefined) {
    printError(`no line of these logs has the request id ${id}`)
    return exitCodes.failed
  }
  if (json) printJson(found)
  else print([found.cause, ...found.lines.map(formatLine)].join('\n'))
  return exitCodes.done
}

export const explainCommand = command({
  name: 'explain',
  description: 'Explain the outcome of one request from the log lines of any number of processes.',
  args: {
    id: positional({ type: string, displayName: 'ID', description: 'id of the attempt, as the caller sent it' }),
    files: restPositionals({ type: string, displayName: 'FILE', description: 'log files (default: standard input)' }),
    json: jsonArg
  },
  handler: ({ id, files, json }) => Promise.resolve(run(id, files, json))
})
