/** Counts how often callers reach a limit of this router, and logs it now and then. */
import type { Log } from '@buckthorndrift/kernel'
import type { GatewayMetrics } from './gatewayMetrics.ts'

/** Shortest time between two log lines about the same limit. */
const logIntervalMs = 10_000

export type CallerLimit = 'memory' | 'requestDeadline' | 'requestsAhead' | 'callerConnections' | 'endpointConnections' | 'peerConnections' | 'readinessConnections' | 'metricsConnections'

interface LimitCount {
  count: number
  loggedMs: number
}

export class LimitReports {
  readonly #log: Log
  readonly #metrics: Pick<GatewayMetrics, 'callerLimits'>
  readonly #counts = new Map<CallerLimit, LimitCount>()

  constructor (log: Log, metrics: Pick<GatewayMetrics, 'callerLimits'>) {
    this.#log = log
    this.#metrics = metrics
  }

  record (limit: CallerLimit): void {
    this.#metrics.callerLimits.inc({ limit })
    const nowMs = performance.now()
    const known = this.#counts.get(limit) ?? { count: 0, loggedMs: -Infinity }
    this.#counts.set(limit, known)
    known.count++
    if (nowMs - known.loggedMs < logIntervalMs) return
    this.#log.event('callerLimitReached', { limit, count: known.count })
    known.count = 0
    known.loggedMs = nowMs
  }
}
