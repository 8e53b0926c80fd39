/** Decides about a reservation that does not fit into the idle tokens of its holder. */
import { freeTokens, type BudgetEntry } from './shard.ts'
import type { BudgetLimits } from './limits.ts'
import type { HeldBudget, WaitingReservation } from './heldBudget.ts'

/**
 * `wait`: a draw or a recall is under way or will be started by the next write.
 * `read`: the known shard is too old to refuse by it.
 * `recall`: ask `holders` for idle tokens first.
 */
export type Judgement =
  | { readonly kind: 'wait' }
  | { readonly kind: 'read' }
  | { readonly kind: 'recall', readonly holders: readonly string[] }
  | { readonly kind: 'exhausted', readonly retryAfterMs: number }
  | { readonly kind: 'unavailable', readonly retryAfterMs: number }

export interface JudgeInput {
  readonly holder: string
  /** The known entry; `undefined` when the budget does not exist. */
  readonly entry: BudgetEntry | undefined
  /** When the known shard was read; `undefined` when it is not known. */
  readonly asOfMs: number | undefined
  readonly held: HeldBudget
  readonly waiting: WaitingReservation
  readonly isCollector: boolean
  readonly limits: BudgetLimits
  readonly nowMs: number
}

function othersOf (input: JudgeInput) {
  return (input.entry?.slices ?? []).filter(slice => slice.holder !== input.holder && slice.capTokens > slice.settledTokens)
}

export function judgeWaiting (input: JudgeInput): Judgement {
  const { held, waiting, entry, limits } = input
  if (input.nowMs >= waiting.expiresMs) return { kind: 'unavailable', retryAfterMs: limits.recallMs }
  if (input.asOfMs === undefined) return { kind: 'read' }
  const tokens = (entry === undefined ? 0 : freeTokens(entry)) + Math.max(0, held.idleTokens)
  if (waiting.tokens <= tokens || held.isRecalling) return { kind: 'wait' }
  const isKnownNews = tokens > held.refusedTokens
  const others = othersOf(input)
  const longestMs = others.length > 0 ? limits.recallMs : limits.exhaustedMs
  const refuseWithinMs = isKnownNews ? 0 : Math.min(longestMs, held.refuseWithinMs)
  if (input.asOfMs + refuseWithinMs < waiting.arrivedMs) return { kind: 'read' }
  if (input.isCollector && others.length > 0 && input.nowMs >= held.nextRecallMs) {
    return { kind: 'recall', holders: others.map(slice => slice.holder) }
  }
  return refuse(input, tokens, refuseWithinMs)
}

function refuse (input: JudgeInput, tokens: number, refuseWithinMs: number): Judgement {
  const { held, waiting, limits } = input
  const isFresh = (input.asOfMs ?? 0) >= waiting.arrivedMs
  held.refusedTokens = tokens
  // A budget that stays exhausted is read less and less often, so that a flood of refusals costs no reads.
  held.refuseWithinMs = isFresh ? Math.min(limits.exhaustedMs, Math.max(limits.recallMs, 2 * refuseWithinMs)) : refuseWithinMs
  const elsewhereTokens = othersOf(input).reduce((sum, slice) => sum + slice.capTokens - slice.settledTokens, 0)
  const isUnknown = held.hasUnreachableHolder && tokens + elsewhereTokens >= waiting.tokens
  return { kind: isUnknown ? 'unavailable' : 'exhausted', retryAfterMs: held.refuseWithinMs }
}
