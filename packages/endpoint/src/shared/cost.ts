/** Cost of a request in tokens. */
import type { Call, Outcome } from '@buckthorndrift/protocol'
import type { BufferedResponse } from './bufferedResponse.ts'
import { estimateTokens, hasDoneEvent, parseUsageFromEvents, parseUsageFromJson, usageTailBytes } from './tokenMeter.ts'

export interface CostInput {
  readonly call: Call
  readonly kind: 'model' | 'plain'
  readonly outcome: Outcome
  /** Status code of the back end's response; 0 if there was none. */
  readonly status: number
  readonly isEventStream: boolean
  /** Number of events with data in the stream. */
  readonly dataEventCount: number
  readonly requestBytes: number
  readonly bufferedResponse: BufferedResponse
}

/** Largest JSON response that is parsed for `usage`. */
const maxJsonBytes = 1_048_576

/**
 * Computes the cost, which is at most the reservation.
 *
 * A plain call costs its price if it completed with a status below 500.
 * A model call costs what the engine reports as `usage`. Without `usage` the
 * prompt is estimated from the request's length; a stream adds one token per
 * event, and any other response an estimate from its length. A model call
 * without a response or with an error status costs nothing.
 */
export function computeCostTokens (input: CostInput): number {
  return Math.min(input.call.reservation.tokens, input.kind === 'plain' ? computePlainCostTokens(input) : computeModelCostTokens(input))
}

function computePlainCostTokens ({ call, outcome, status }: CostInput): number {
  return outcome === 'completed' && status < 500 ? call.priceTokens ?? call.reservation.tokens : 0
}

function computeModelCostTokens (input: CostInput): number {
  const { bufferedResponse, status } = input
  if (status === 0 || status >= 400) return 0
  const tail = bufferedResponse.tail(input.isEventStream ? usageTailBytes : maxJsonBytes)
  const usage = input.isEventStream ? parseUsageFromEvents(tail) : parseUsageFromJson(tail)
  if (usage !== undefined) return usage.promptTokens + usage.completionTokens
  const promptTokens = estimateTokens(input.requestBytes)
  if (!input.isEventStream) return promptTokens + estimateTokens(bufferedResponse.length)
  return promptTokens + input.dataEventCount - (hasDoneEvent(tail) ? 1 : 0)
}
