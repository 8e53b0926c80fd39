/** Metrics of the gateway in the usual text exposition format. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client'

const latencyBucketsMs = [5, 10, 25, 50, 100, 200, 400, 800, 1600, 3200, 6400, 15_000]

export interface GatewayMetrics {
  readonly registry: Registry
  readonly requests: Counter<'service' | 'outcome'>
  readonly refusals: Counter<'reason'>
  readonly attempts: Counter<'service'>
  readonly retries: Counter<'service'>
  readonly firstByteMs: Histogram<'service'>
  readonly durationMs: Histogram<'service'>
  readonly configurationVersion: Gauge
  readonly openRequests: Gauge
}

/** Creates the metrics; `countOpen` tells the requests that are being answered. */
export function createGatewayMetrics (countOpen: () => number): GatewayMetrics {
  const registry = new Registry()
  const registers = [registry]
  const prefix = 'buckthorndrift_'
  return {
    registry,
    requests: new Counter({ name: `${prefix}requests_total`, help: 'requests by service and outcome', labelNames: ['service', 'outcome'], registers }),
    refusals: new Counter({ name: `${prefix}refusals_total`, help: 'refused or failed requests by reason', labelNames: ['reason'], registers }),
    attempts: new Counter({ name: `${prefix}attempts_total`, help: 'attempts at endpoints', labelNames: ['service'], registers }),
    retries: new Counter({ name: `${prefix}retries_total`, help: 'attempts after the first one of a request', labelNames: ['service'], registers }),
    firstByteMs: new Histogram({ name: `${prefix}first_byte_ms`, help: 'time to the first byte of the answer in ms', labelNames: ['service'], buckets: latencyBucketsMs, registers }),
    durationMs: new Histogram({ name: `${prefix}duration_ms`, help: 'time to the end of the answer in ms', labelNames: ['service'], buckets: latencyBucketsMs, registers }),
    configurationVersion: new Gauge({ name: `${prefix}configuration_version`, help: 'version of the configuration in force', registers }),
    openRequests: new Gauge({ name: `${prefix}open_requests`, help: 'requests that are being answered', registers, collect () { this.set(countOpen()) } })
  }
}
