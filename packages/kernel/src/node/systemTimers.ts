/** Timer service on the clocks and timers of Node.js. Its timers are unreferenced and do not keep the process alive. */
import { performance } from 'node:perf_hooks'
import type { TimerService, Unsubscribe } from '../shared/timers.ts'

export class SystemTimers implements TimerService {
  nowMs (): number {
    return Date.now()
  }

  monotonicMs (): number {
    return performance.now()
  }

  after (delayMs: number, listener: () => void): Unsubscribe {
    const handle = setTimeout(listener, delayMs)
    handle.unref()
    return () => { clearTimeout(handle) }
  }

  every (intervalMs: number, listener: () => void): Unsubscribe {
    const handle = setInterval(listener, intervalMs)
    handle.unref()
    return () => { clearInterval(handle) }
  }
}
