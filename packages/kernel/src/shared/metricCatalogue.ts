/** The catalogue of metrics, the only source of metric names and of docs/metrics.md. */

export type MetricKind = 'counter' | 'gauge' | 'timing'

export interface MetricDefinition {
  readonly kind: MetricKind
  /** Unit of one value: a noun for counters, such as `requests`. */
  readonly unit: string
  readonly summary: string
  /** Names of the tags that the metric may carry. */
  readonly tags: readonly string[]
}

function defineMetrics<Name extends string> (metrics: Readonly<Record<Name, MetricDefinition>>): Readonly<Record<Name, MetricDefinition>> {
  return metrics
}

export const metricCatalogue = defineMetrics({
  'budget.reserveMs': { kind: 'timing', unit: 'ms', summary: 'time to reserve the tokens of a request', tags: [] },
  'caller.durationMs': { kind: 'timing', unit: 'ms', summary: 'time from a request to the end of its response', tags: ['service', 'outcome'] },
  'caller.requests': { kind: 'counter', unit: 'requests', summary: 'requests of callers that were answered or refused', tags: ['service', 'outcome'] },
  'caller.open': { kind: 'gauge', unit: 'requests', summary: 'requests of callers that are being answered', tags: [] },
  'caller.waitingBytes': { kind: 'gauge', unit: 'bytes', summary: 'bytes of responses that their callers have not taken', tags: [] },
  'config.fleetVersion': { kind: 'gauge', unit: 'version', summary: 'version of the fleet text in force; differs between routers while a change spreads', tags: [] },
  'documents.exchangeFailed': { kind: 'counter', unit: 'exchanges', summary: 'exchanges of documents that a peer did not answer', tags: [] },
  'documents.learned': { kind: 'counter', unit: 'documents', summary: 'documents that replaced an older version', tags: [] },
  'endpoint.answersBytes': { kind: 'gauge', unit: 'bytes', summary: 'responses kept for callers that return', tags: [] },
  'endpoint.queued': { kind: 'gauge', unit: 'requests', summary: 'requests that wait for the back end', tags: [] },
  'endpoint.requestIds': { kind: 'gauge', unit: 'requests', summary: 'requests that the endpoint process remembers', tags: [] },
  'endpoint.run': { kind: 'timing', unit: 'ms', summary: 'time of a request at the back end', tags: ['outcome'] },
  'endpoint.unreadBytes': { kind: 'gauge', unit: 'bytes', summary: 'bytes of streams that their readers have not taken', tags: [] },
  'forward.attempts': { kind: 'counter', unit: 'attempts', summary: 'attempts to run a request at an endpoint', tags: ['service', 'version'] },
  'forward.headMs': { kind: 'timing', unit: 'ms', summary: 'time from an attempt to the headers of its response', tags: ['service', 'version', 'route'] },
  'forward.hedges': { kind: 'counter', unit: 'attempts', summary: 'second attempts sent while the first one was slow', tags: ['service'] },
  'forward.reattaches': { kind: 'counter', unit: 'connections', summary: 'silent connections replaced by a new one', tags: [] },
  'forward.retries': { kind: 'counter', unit: 'attempts', summary: 'attempts after a failed one', tags: ['service', 'reason'] },
  'forward.retryBudgetEmpty': { kind: 'counter', unit: 'attempts', summary: 'retries not made because the retry budget of the service was used up', tags: ['service'] }
})

export type MetricName = keyof typeof metricCatalogue
