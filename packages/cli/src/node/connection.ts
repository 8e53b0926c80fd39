/** Options for the router URL and the administration key, and the API client created from them. */
import { readFileSync } from 'node:fs'
import { flag, option, optional, string } from 'cmd-ts'
import { Err, Ok, type Result } from 'ts-results-es'
import { createAdminClient, type AdminClient, type CallInputOf, type OperationName, type OutputOf } from '@buckthorndrift/admin'
import { exitCodes, type ExitCode } from '../shared/exitCodes.ts'
import { reportFailure } from './failures.ts'
import { printError } from './output.ts'

const defaultUrl = 'http://127.0.0.1:8081'
/** Timeout of one API call. It is long because, for a report over a long time range, the router reads many objects before it responds. */
const callTimeoutMs = 120_000

/** Options of every command that calls the administration API. No flag takes the key itself, because other users can see flags in the process list. */
export const connectionArgs = {
  url: option({ long: 'url', type: optional(string), description: `administration listener of a router (default: $BUCKTHORNDRIFT_ADMIN_URL or ${defaultUrl})` }),
  keyFile: option({ long: 'key-file', type: optional(string), description: 'file with the administration key (default: the key in $BUCKTHORNDRIFT_ADMIN_KEY)' })
}

export const jsonArg = flag({ long: 'json', description: 'print JSON for scripts instead of a table' })

export interface ConnectionFlags {
  readonly url: string | undefined
  readonly keyFile: string | undefined
}

export interface Connection {
  readonly url: string
  /** Calls the API. On failure, prints the error and returns the exit code. */
  call<Name extends OperationName> (name: Name, input: CallInputOf<Name>): Promise<Result<OutputOf<Name>, ExitCode>>
  readonly client: AdminClient
}

function readKey (keyFile: string | undefined): Result<string, string> {
  if (keyFile === undefined) {
    const key = process.env['BUCKTHORNDRIFT_ADMIN_KEY'] ?? ''
    return key === '' ? Err('No administration key: set BUCKTHORNDRIFT_ADMIN_KEY or pass a file with --key-file.') : Ok(key)
  }
  try {
    return Ok(readFileSync(keyFile, 'utf8').trim())
  } catch (error) {
    return Err(`The key file cannot be read: ${(error as Error).message}`)
  }
}

/** Runs a command with a connection. A missing key or an invalid URL is a usage error. */
export async function withConnection (flags: ConnectionFlags, run: (connection: Connection) => Promise<ExitCode>): Promise<ExitCode> {
  const url = flags.url ?? process.env['BUCKTHORNDRIFT_ADMIN_URL'] ?? defaultUrl
  const key = readKey(flags.keyFile)
  if (key.isErr()) return reportUsageError(key.error)
  if (!/^https?:\/\/[^/\s]+/.test(url)) return reportUsageError(`--url must be an http or https URL, not "${url}".`)
  const client = createAdminClient({ url, key: key.value, timeoutMs: callTimeoutMs })
  return run({
    url,
    client,
    call: async (name, input) => (await client.call(name, input)).mapErr(failure => reportFailure(failure, url))
  })
}

function reportUsageError (text: string): ExitCode {
  printError(text)
  return exitCodes.usage
}
