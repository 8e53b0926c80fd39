/** Catalogue of the metrics of router and endpoint processes. It is the only source of their names and of their table in docs/metrics.md. */

export type MetricKind = 'counter' | 'gauge' | 'timing'

export interface MetricDefinition {
  readonly kind: MetricKind
  /** Unit of a value. For counters, a plural noun such as `requests`. */
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
  'caller.durationMs': { kind: 'timing', unit: 'ms', summary: 'time from the arrival of a request to the end of its response', tags: ['service', 'outcome'] },
  'caller.requests': { kind: 'counter', unit: 'requests', summary: 'requests of callers that ended, whether answered, refused or abandoned by the caller', tags: ['service', 'outcome'] },
  'caller.open': { kind: 'gauge', unit: 'requests', summary: 'requests of callers in flight', tags: [] },
  'caller.waitingBytes': { kind: 'gauge', unit: 'bytes', summary: 'bytes of responses buffered until their callers read them', tags: [] },
  'config.fleetVersion': { kind: 'gauge', unit: 'version', summary: 'version of the active fleet text; differs between routers while a change propagates', tags: [] },
  'documents.exchangeFailed': { kind: 'counter', unit: 'exchanges', summary: 'document exchanges that a peer router did not answer', tags: [] },
  'documents.learned': { kind: 'counter', unit: 'documents', summary: 'documents that were new to the process or replaced an older version', tags: [] },
  'endpoint.answersBytes': { kind: 'gauge', unit: 'bytes', summary: 'bytes of responses kept for callers that reconnect', tags: [] },
  'endpoint.queued': { kind: 'gauge', unit: 'requests', summary: 'requests queued for the back end', tags: [] },
  'endpoint.requestIds': { kind: 'gauge', unit: 'requests', summary: 'requests that the endpoint process remembers', tags: [] },
  'endpoint.run': { kind: 'timing', unit: 'ms', summary: 'time that a request ran at the back end', tags: ['outcome'] },
  'endpoint.unreadBytes': { kind: 'gauge', unit: 'bytes', summary: 'bytes of streams that their readers have not read yet', tags: [] },
  'forward.attempts': { kind: 'counter', unit: 'attempts', summary: 'attempts to run a request at an endpoint', tags: ['service', 'version'] },
  'forward.headMs': { kind: 'timing', unit: 'ms', summary: 'time from the start of an attempt to the headers of its response', tags: ['service', 'version', 'route'] },
  'forward.hedges': { kind: 'counter', unit: 'attempts', summary: 'hedged requests: second attempts sent while the first one was slow', tags: ['service'] },
  'forward.reattaches': { kind: 'counter', unit: 'connections', summary: 'broken or silent connections to endpoints that were replaced by a new one', tags: [] },
  'forward.retries': { kind: 'counter', unit: 'attempts', summary: 'attempts made after a failed one', tags: ['service', 'reason'] },
  'forward.retryBudgetEmpty': { kind: 'counter', unit: 'attempts', summary: 'retries not made because the retry budget of the service was exhausted', tags: ['service'] }
})

export type MetricName = keyof typeof metricCatalogue
