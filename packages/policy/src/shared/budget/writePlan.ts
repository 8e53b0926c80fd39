/** Plans the next write of a holder to its shard. */
import { changeSlices, findSlice, freeTokens, type BudgetEntry, type BudgetShard, type SliceChange } from './shard.ts'
import { sliceTarget } from './sizing.ts'
import type { BudgetLimits } from './limits.ts'
import type { HeldBudget } from './heldBudget.ts'

export interface PlanInput {
  readonly holder: string
  readonly shard: BudgetShard
  readonly held: ReadonlyMap<string, HeldBudget>
  readonly settledSeq: number
  readonly flushedSeq: number
  readonly isCollector: boolean
  readonly isDraining: boolean
  /** Whether a write without a reply may still take effect. It cannot once the stored version is above the one that it expects. */
  readonly isUnresolved: boolean
  readonly limits: BudgetLimits
  readonly nowMs: number
}

/**
 * When a write is due. `now`: a reservation or recall waits for it, or the holder
 * drains. `soon`: after `lowWriteMs`, because a slice is low or holds tokens that
 * others need. `flush`: after `flushMs`.
 */
export type WriteUrgency = 'now' | 'soon' | 'flush'

export interface WritePlan {
  readonly value: BudgetShard
  readonly settledSeq: number
  readonly changes: readonly SliceChange[]
  readonly urgency: WriteUrgency
}

interface BudgetPlan {
  readonly change: SliceChange
  readonly urgency: WriteUrgency | undefined
}

const urgencyOrder: readonly WriteUrgency[] = ['now', 'soon', 'flush']

/** Sum of the waiting reservations that fit into `tokens`, taken in order of arrival. */
function fittingTokens (held: HeldBudget, tokens: number): number {
  let sum = 0
  for (const waiting of held.waiting) {
    if (sum + waiting.tokens <= tokens) sum += waiting.tokens
  }
  return sum
}

/** Number of idle tokens that the holder should keep in its slice of a budget. */
function targetOf (input: PlanInput, entry: BudgetEntry, held: HeldBudget, leftTokens: number): number {
  return sliceTarget({
    tokensPerSecond: held.rate.tokensPerSecond(input.nowMs),
    largestTokens: held.largestTokens,
    leftTokens,
    otherSliceCount: entry.slices.filter(slice => slice.holder !== input.holder).length,
    isCollector: input.isCollector,
    isScarce: input.nowMs < held.scarceUntilMs
  }, input.limits)
}

function planBudget (input: PlanInput, budget: string, entry: BudgetEntry, held: HeldBudget): BudgetPlan {
  const { limits, nowMs } = input
  const change = (capTokens: number) => ({ budget, capTokens, settledTokens: held.coveredTokens, isClosed: false })
  const isFullySettled = held.openCount === 0 && held.coveredTokens === held.settledTokens
  const isUnused = held.waiting.length === 0 && nowMs - held.lastUsedMs >= limits.closeIdleMs
  if (held.hasStoredSlice && isFullySettled && (input.isDraining || isUnused)) {
    return { change: { ...change(held.usableCapTokens), isClosed: true }, urgency: input.isDraining ? 'now' : 'flush' }
  }
  const storedCapTokens = findSlice(entry, input.holder)?.capTokens ?? 0
  // Free tokens are those beyond the stored caps, so they are added to the stored cap and not to the usable one, which may be smaller.
  const maxCapTokens = storedCapTokens + freeTokens(entry)
  const leftTokens = Math.max(0, maxCapTokens - held.usedTokens)
  const waitingTokens = input.isDraining ? 0 : fittingTokens(held, leftTokens)
  const targetTokens = input.isDraining ? 0 : targetOf(input, entry, held, leftTokens - waitingTokens)
  const idleTokens = held.idleTokens
  const capFor = (idle: number) => change(held.usedTokens + Math.min(leftTokens, idle))
  if (waitingTokens > Math.max(0, idleTokens)) return { change: capFor(waitingTokens + targetTokens), urgency: 'now' }
  const isLow = idleTokens < targetTokens && idleTokens <= targetTokens * limits.lowShare
  if (isLow) return { change: capFor(targetTokens), urgency: 'soon' }
  if (held.isRecalled || input.isDraining) {
    return { change: capFor(Math.min(idleTokens, targetTokens)), urgency: idleTokens > targetTokens ? 'now' : undefined }
  }
  const isSurplus = idleTokens > targetTokens * limits.surplusFactor
  const isTopUpUseful = idleTokens < targetTokens
  // For some time after a recall, a surplus is returned sooner, because other holders need it.
  if (isSurplus) return { change: capFor(targetTokens), urgency: nowMs < held.scarceUntilMs ? 'soon' : 'flush' }
  // A write that is due for another reason refills the slice too.
  return { change: isTopUpUseful ? capFor(targetTokens) : change(held.usableCapTokens), urgency: undefined }
}

/** Returns the next write, or `undefined` when there is nothing to write. */
export function planWrite (input: PlanInput): WritePlan | undefined {
  const changes: SliceChange[] = []
  let urgency: WriteUrgency | undefined = input.settledSeq > input.flushedSeq || input.isUnresolved ? 'flush' : undefined
  for (const [budget, held] of input.held) {
    const entry = input.shard.budgets.get(budget)
    if (entry === undefined) continue
    const planned = planBudget(input, budget, entry, held)
    const stored = findSlice(entry, input.holder)
    const isEmpty = stored === undefined && planned.change.capTokens === 0
    if (isEmpty) continue
    changes.push(planned.change)
    if (planned.urgency !== undefined && (urgency === undefined || urgencyOrder.indexOf(planned.urgency) < urgencyOrder.indexOf(urgency))) urgency = planned.urgency
  }
  if (urgency === undefined || (changes.length === 0 && !input.isUnresolved)) return undefined
  return { value: changeSlices(input.shard, input.holder, input.settledSeq, changes), settledSeq: input.settledSeq, changes, urgency }
}
