/** How a request ended, as the log and the metrics tell it. */
import type { Log } from '@buckthorndrift/kernel'
import type { FailureReason } from '@buckthorndrift/policy'
import type { CallInput } from './callInput.ts'
import type { GatewayMetrics } from './gatewayMetrics.ts'
import type { Placement } from './gatewayState.ts'

export interface CallOutcome {
  readonly outcome: 'finished' | 'failed' | 'refused' | 'abandoned'
  readonly status: number
  readonly reason: FailureReason | undefined
  readonly detail: string
  readonly endpointIds: readonly string[]
  /** Number of endpoints that may have run the request. */
  readonly runs: number
  readonly events: number
  /** Longest time between two events of a stream. */
  readonly longestGapMs: number
  readonly firstByteMs: number | undefined
  /** Placement of the last attempt; `undefined` when nothing was sent. */
  readonly placement: Placement | undefined
}

export interface OutcomeSinks {
  readonly log: Log
  readonly metrics: GatewayMetrics
}

const eventNames = { finished: 'requestFinished', failed: 'requestFailed', refused: 'requestRefused', abandoned: 'requestAbandoned' } as const

/** Writes the log line of a request that ended, and counts it. */
export function reportOutcome ({ log, metrics }: OutcomeSinks, input: CallInput, result: CallOutcome, nowMs: number): void {
  const { route, service, organisation, attributes, configurationVersion } = input
  const durationMs = Math.round(nowMs - input.arrivedMs)
  metrics.requests.inc({ service: service.name, outcome: result.outcome })
  metrics.durationMs.observe({ service: service.name }, durationMs)
  if (result.firstByteMs !== undefined) metrics.firstByteMs.observe({ service: service.name }, result.firstByteMs)
  if (result.events > 1) metrics.eventGapMs.observe({ service: service.name }, result.longestGapMs)
  if (result.reason !== undefined) metrics.refusals.inc({ reason: result.reason })
  log.event(eventNames[result.outcome], {
    attemptId: attributes.attemptId ?? '',
    route: route.name,
    service: service.name,
    organisation: organisation?.name ?? '',
    configurationVersion,
    status: result.status,
    reason: result.reason ?? '',
    detail: result.detail,
    endpoints: result.endpointIds.join(' '),
    runs: result.runs,
    events: result.events,
    longestGapMs: Math.round(result.longestGapMs),
    firstByteMs: Math.round(result.firstByteMs ?? -1),
    sentAfterMs: Math.round(result.placement === undefined ? -1 : result.placement.placedMs - input.arrivedMs),
    estimateMs: Math.round(result.placement?.estimateMs ?? -1),
    uncachedTokens: result.placement?.uncachedTokens ?? 0,
    isHome: result.placement?.isHome ?? false,
    durationMs,
    leftMs: Math.round(input.deadlineAtMs - nowMs),
    promptTokens: attributes.generation?.promptTokens ?? 0
  })
}
