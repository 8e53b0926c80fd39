/** Metrics implementation that sends to a StatsD agent through hot-shots. */
import { StatsD } from 'hot-shots'
import type { Metrics } from '../shared/metrics.ts'

export interface StatsdOptions {
  readonly host: string
  readonly port: number
  /** Tags added to every metric. */
  readonly tags: Readonly<Record<string, string>>
}

/** Opens the StatsD client. Send errors are ignored, so that a missing agent never fails a request. */
export function createStatsdMetrics (options: StatsdOptions): Metrics {
  const client = new StatsD({
    host: options.host,
    port: options.port,
    prefix: 'buckthorndrift.',
    globalTags: { ...options.tags },
    maxBufferSize: 1400,
    bufferFlushInterval: 1000,
    errorHandler: () => {}
  })
  return {
    increment: (name, value = 1, tags = {}) => { client.increment(name, value, { ...tags }) },
    gauge: (name, value, tags = {}) => { client.gauge(name, value, { ...tags }) },
    timing: (name, durationMs, tags = {}) => { client.timing(name, durationMs, { ...tags }) },
    close: () => new Promise(resolve => { client.close(() => { resolve() }) })
  }
}
