/** Error messages and exit codes for failed calls to the administration API. */
import type { AdminCallFailure, AdminProblem } from '@buckthorndrift/admin'
import { assertNever } from '@buckthorndrift/kernel'
import { exitCodes, type ExitCode } from '../shared/exitCodes.ts'
import { printError } from './output.ts'

function exitCodeOf (problem: AdminProblem): ExitCode {
  switch (problem.code) {
    case 'badRequest': return exitCodes.usage
    case 'conflict': return exitCodes.conflict
    case 'unavailable': return exitCodes.unreachable
    case 'unauthenticated':
    case 'notFound':
    case 'invalidFleetText':
    case 'tooLarge':
    case 'notSupported':
    case 'internal': return exitCodes.failed
    default: return assertNever(problem.code)
  }
}

function suggestAction (problem: AdminProblem): string | undefined {
  if (problem.mayHaveApplied === true) return 'The change may have taken effect. Read the present state before you retry.'
  switch (problem.code) {
    case 'unauthenticated': return 'Set BUCKTHORNDRIFT_ADMIN_KEY or --key-file to a key whose hash the router has in --admin-key-hashes.'
    case 'unavailable': return 'Nothing was changed. Retry when the platform is available again.'
    default: return undefined
  }
}

/** Prints a failure with advice for the operator, and returns the exit code. */
export function reportFailure (failure: AdminCallFailure, url: string): ExitCode {
  if (failure.kind === 'unreachable') {
    printError(`The router at ${url} cannot be reached: ${failure.detail}`)
    printError('Check --url or BUCKTHORNDRIFT_ADMIN_URL, and that the router is running. A change may have taken effect: read the present state before you retry.')
    return exitCodes.unreachable
  }
  const { problem } = failure
  printError(`${problem.title}: ${problem.detail}`)
  const advice = suggestAction(problem)
  if (advice !== undefined) printError(advice)
  return exitCodeOf(problem)
}
