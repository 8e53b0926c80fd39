/** Runs a router or endpoint process until it is asked to stop, and maps the result to an exit code. */
import type { Log } from '../shared/log.ts'
import { createRoarrLog } from './roarrLog.ts'
import { SystemTimers } from './systemTimers.ts'

export const processExitCodes = { done: 0, failed: 1, usage: 2 } as const

export interface RunProcessOptions {
  /** Name of the kind of process in messages, such as `router` or `endpoint process`. */
  readonly label: string
  readonly log: Log
  /** Time limit of the graceful shutdown. */
  readonly drainLimitMs: number
  /** Starts the process. The process calls `requestStop` to begin its own graceful shutdown. */
  start (requestStop: () => void): Promise<{ stop (): Promise<void> }>
}

const keepAliveIntervalMs = 60_000

/** Returns a promise, `requested`, that resolves on SIGTERM, on SIGINT or when `request` is called. */
function listenForStop (): { readonly requested: Promise<void>, request (): void } {
  let request = (): void => {}
  const requested = new Promise<void>(resolve => { request = resolve })
  process.once('SIGTERM', request)
  process.once('SIGINT', request)
  return { requested, request }
}

/** Resolves with the exit code: 0 after a graceful shutdown, 1 when the process failed or its shutdown exceeded `drainLimitMs`. */
export async function runProcess (options: RunProcessOptions): Promise<number> {
  const { requested, request } = listenForStop()
  // The timers of `SystemTimers` do not keep the process alive. Without `keepAliveTimer`, Node.js would exit during a shutdown that waits only for such timers.
  const keepAliveTimer = setInterval(() => {}, keepAliveIntervalMs)
  try {
    const running = await options.start(request)
    await requested
    return await waitForShutdown(running.stop(), options)
  } catch (error) {
    process.stderr.write(`The ${options.label} failed: ${error instanceof Error ? error.message : String(error)}\n`)
    return processExitCodes.failed
  } finally {
    clearInterval(keepAliveTimer)
  }
}

async function waitForShutdown (stopping: Promise<void>, { drainLimitMs, log }: RunProcessOptions): Promise<number> {
  const timers = new SystemTimers()
  const timedOut = new Promise<'late'>(resolve => { timers.after(drainLimitMs, () => { resolve('late') }) })
  const outcome = await Promise.race([stopping, timedOut])
  if (outcome !== 'late') return processExitCodes.done
  log.event('drainTimedOut', { drainLimitMs })
  return processExitCodes.failed
}

/** Reports invalid settings in the log and on standard error. Returns the exit code. */
export function rejectSettings (label: string, problems: readonly string[]): number {
  createRoarrLog({ scope: label, level: 'info', base: {} }).event('settingsRejected', { problems: problems.join('; ') })
  process.stderr.write(`The ${label} cannot start because its settings are invalid:\n${problems.map(problem => `  ${problem}\n`).join('')}`)
  return processExitCodes.usage
}
