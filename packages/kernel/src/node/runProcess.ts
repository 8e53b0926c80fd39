/** Runs a process of the fleet until it is asked to stop. */
import type { Log } from '../shared/log.ts'
import { createRoarrLog } from './roarrLog.ts'
import { SystemTimers } from './systemTimers.ts'

export const processExitCodes = { done: 0, failed: 1, usage: 2 } as const

export interface RunProcessOptions {
  /** `router` or `endpoint process`, for messages. */
  readonly label: string
  readonly log: Log
  /** Longest graceful shutdown. */
  readonly drainLimitMs: number
  /** Starts the process; `requestStop` starts its graceful shutdown. */
  start (requestStop: () => void): Promise<{ stop (): Promise<void> }>
}

const keepRunningMs = 60_000

/** Resolves on SIGTERM or SIGINT, or when `request` is called. */
function stopSignal (): { readonly requested: Promise<void>, request (): void } {
  let request = (): void => {}
  const requested = new Promise<void>(resolve => { request = resolve })
  process.once('SIGTERM', request)
  process.once('SIGINT', request)
  return { requested, request }
}

/** Resolves with the exit code: 0 after a graceful shutdown, 1 when the process failed or its shutdown took too long. */
export async function runProcess (options: RunProcessOptions): Promise<number> {
  const { requested, request } = stopSignal()
  // Timers do not keep a process running, so a shutdown that only waits for one would end it early.
  const keepRunning = setInterval(() => {}, keepRunningMs)
  try {
    const running = await options.start(request)
    await requested
    return await finish(running.stop(), options)
  } catch (error) {
    process.stderr.write(`The ${options.label} failed: ${error instanceof Error ? error.message : String(error)}\n`)
    return processExitCodes.failed
  } finally {
    clearInterval(keepRunning)
  }
}

async function finish (stopping: Promise<void>, { drainLimitMs, log }: RunProcessOptions): Promise<number> {
  const timers = new SystemTimers()
  const timedOut = new Promise<'late'>(resolve => { timers.after(drainLimitMs, () => { resolve('late') }) })
  const outcome = await Promise.race([stopping, timedOut])
  if (outcome !== 'late') return processExitCodes.done
  log.event('drainTimedOut', { drainLimitMs })
  return processExitCodes.failed
}

/** Tells about wrong settings on standard error and in the log. Returns the exit code. */
export function rejectSettings (label: string, problems: readonly string[]): number {
  createRoarrLog({ scope: label, level: 'info', base: {} }).event('settingsRejected', { problems: problems.join('; ') })
  process.stderr.write(`The ${label} cannot start because of its settings:\n${problems.map(problem => `  ${problem}\n`).join('')}`)
  return processExitCodes.usage
}
