/** What a request costs, in tokens. */
import type { Call, Outcome } from '@buckthorndrift/protocol'
import type { Answer } from './answer.ts'
import { hasDoneEvent, promptTokensOf, usageOfEvents, usageOfJson, usageTailBytes } from './tokenMeter.ts'

export interface CostInput {
  readonly call: Call
  readonly kind: 'model' | 'plain'
  readonly outcome: Outcome
  /** Status of the back end's answer; 0 without one. */
  readonly status: number
  readonly isStream: boolean
  /** Events with data in the stream. */
  readonly events: number
  readonly requestBytes: number
  readonly answer: Answer
}

/** Largest JSON answer that is searched for `usage`, in bytes. */
const jsonLimitBytes = 1_048_576

/**
 * Cost in tokens, at most the reservation. Plain calls cost their price once
 * they have an answer below 500. Model calls cost what `usage` says, else the
 * estimated prompt plus one token per event; an error status costs nothing.
 */
export function costOf (input: CostInput): number {
  return Math.min(input.call.reservation.tokens, input.kind === 'plain' ? plainCostOf(input) : modelCostOf(input))
}

function plainCostOf ({ call, outcome, status }: CostInput): number {
  return outcome === 'completed' && status < 500 ? call.priceTokens ?? call.reservation.tokens : 0
}

function modelCostOf (input: CostInput): number {
  const { answer, status } = input
  if (status === 0 || status >= 400) return 0
  const tail = answer.tail(input.isStream ? usageTailBytes : jsonLimitBytes)
  const usage = input.isStream ? usageOfEvents(tail) : usageOfJson(tail)
  if (usage !== undefined) return usage.promptTokens + usage.completionTokens
  const promptTokens = promptTokensOf(input.requestBytes)
  if (!input.isStream) return promptTokens + promptTokensOf(answer.length)
  return promptTokens + input.events - (hasDoneEvent(tail) ? 1 : 0)
}
