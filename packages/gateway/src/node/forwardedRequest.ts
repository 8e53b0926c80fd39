/** The request as it is sent to an endpoint. */
import { isRepeatable } from '../shared/attemptRules.ts'
import type { CallInput } from './callInput.ts'
import type { ExchangeRequest } from './exchange.ts'
import type { GatewayState, Placement } from './gatewayState.ts'

/** Time reserved for returning the response to the caller. The deadline sent to the endpoint is earlier by this time. */
const responseMarginMs = 5

export interface ForwardedRequestInput {
  readonly state: GatewayState
  readonly call: CallInput
  readonly placement: Placement
  readonly remainingMs: number
  /** Id of the event after which a stream goes on. */
  readonly resumeAfter: string | undefined
}

export function forwardedRequest ({ state, call, placement, remainingMs, resumeAfter }: ForwardedRequestInput): ExchangeRequest {
  const { request, attributes, body, organisation, service, route } = call
  const headers = state.dialect.forwardHeaders(request.rawHeaders, {
    remainingMs: Math.max(1, Math.floor(remainingMs - responseMarginMs)),
    endpointId: placement.endpoint.entry.id,
    organisation: organisation?.name,
    urgency: service.engine === undefined ? undefined : state.urgencyOf(call, placement),
    resumeAfter
  })
  return { method: request.method ?? 'GET', path: request.url ?? '/', headers, body, isRepeatable: isRepeatable(route), attemptId: attributes.attemptId }
}
