/** Decides what to do about a reservation that exceeds the idle tokens of its holder. */
import { freeTokens, type BudgetEntry } from './shard.ts'
import type { BudgetLimits } from './limits.ts'
import type { HeldBudget, WaitingReservation } from './heldBudget.ts'

/**
 * `wait`: the next write can assign enough tokens, or a recall is in flight.
 * `read`: the known shard is too old to base a refusal on.
 * `recall`: ask `holders` to return idle tokens first.
 * `exhausted`: the budget does not have the tokens.
 * `unavailable`: the reservation waited too long, or the missing tokens may be
 * held by a router that cannot be reached.
 */
export type WaitingDecision =
  | { readonly kind: 'wait' }
  | { readonly kind: 'read' }
  | { readonly kind: 'recall', readonly holders: readonly string[] }
  | { readonly kind: 'exhausted', readonly retryAfterMs: number }
  | { readonly kind: 'unavailable', readonly retryAfterMs: number }

export interface WaitingDecisionInput {
  readonly holder: string
  /** The budget in the known shard; `undefined` when it does not exist or no shard is known. */
  readonly entry: BudgetEntry | undefined
  /** Time at which the read or write behind the known shard started; `undefined` when no shard is known. */
  readonly asOfMs: number | undefined
  readonly held: HeldBudget
  readonly waiting: WaitingReservation
  readonly isCollector: boolean
  readonly limits: BudgetLimits
  readonly nowMs: number
}

function otherSlicesWithTokens (input: WaitingDecisionInput) {
  return (input.entry?.slices ?? []).filter(slice => slice.holder !== input.holder && slice.capTokens > slice.settledTokens)
}

export function decideWaiting (input: WaitingDecisionInput): WaitingDecision {
  const { held, waiting, entry, limits } = input
  if (input.nowMs >= waiting.expiresMs) return { kind: 'unavailable', retryAfterMs: limits.recallMs }
  if (input.asOfMs === undefined) return { kind: 'read' }
  const tokens = (entry === undefined ? 0 : freeTokens(entry)) + Math.max(0, held.idleTokens)
  if (waiting.tokens <= tokens || held.isRecalling) return { kind: 'wait' }
  const hasMoreTokens = tokens > held.leftTokensAtRefusal
  const others = otherSlicesWithTokens(input)
  const maxAgeMs = others.length > 0 ? limits.recallMs : limits.exhaustedMs
  const refusalMaxAgeMs = hasMoreTokens ? 0 : Math.min(maxAgeMs, held.refusalMaxAgeMs)
  if (input.asOfMs + refusalMaxAgeMs < waiting.arrivedMs) return { kind: 'read' }
  if (input.isCollector && others.length > 0 && input.nowMs >= held.nextRecallMs) {
    return { kind: 'recall', holders: others.map(slice => slice.holder) }
  }
  return refuse(input, tokens, refusalMaxAgeMs)
}

function refuse (input: WaitingDecisionInput, tokens: number, refusalMaxAgeMs: number): WaitingDecision {
  const { held, waiting, limits } = input
  const isFresh = (input.asOfMs ?? 0) >= waiting.arrivedMs
  held.leftTokensAtRefusal = tokens
  // The interval between reads of an exhausted budget doubles, so that many refusals cause few reads.
  held.refusalMaxAgeMs = isFresh ? Math.min(limits.exhaustedMs, Math.max(limits.recallMs, 2 * refusalMaxAgeMs)) : refusalMaxAgeMs
  const elsewhereTokens = otherSlicesWithTokens(input).reduce((sum, slice) => sum + slice.capTokens - slice.settledTokens, 0)
  const mayHaveUnreachableTokens = held.hasUnreachableHolder && tokens + elsewhereTokens >= waiting.tokens
  return { kind: mayHaveUnreachableTokens ? 'unavailable' : 'exhausted', retryAfterMs: held.refusalMaxAgeMs }
}
