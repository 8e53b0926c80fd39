/**
 * A shard of budgets as the platform stores it, and the changes that routers
 * and operators make to it. The functions are pure: they return a new shard.
 */
import { Err, Ok, type Result } from 'ts-results-es'

/** Part of a budget that one holder may spend. */
export interface Slice {
  /** `<routerId>.<incarnation>`, or `<routerId>.<incarnation>-<number>` for a further holder of the same process. */
  readonly holder: string
  /** Maximum tokens that the holder may spend from this slice. */
  readonly capTokens: number
  /** Tokens spent by the slice's reservations at or below the holder's settled sequence. */
  readonly settledTokens: number
}

/** A grant of tokens by an operator; the operation id makes it idempotent. */
export interface TopUp {
  readonly operationId: string
  readonly tokens: number
}

export interface BudgetEntry {
  readonly organisation: string
  /** Tokens granted to the budget so far, in total. */
  readonly grantedTokens: number
  /** Tokens spent through slices that have been closed. */
  readonly spentTokens: number
  /** Recent top-ups, oldest first. The creation of the budget counts as its first top-up. */
  readonly topUps: readonly TopUp[]
  readonly slices: readonly Slice[]
}

export interface BudgetShard {
  readonly budgets: ReadonlyMap<string, BudgetEntry>
  /** By holder: the highest sequence up to which all its reservations are settled and counted in its slices. */
  readonly settledSeqs: ReadonlyMap<string, number>
}

export const emptyShard: BudgetShard = { budgets: new Map(), settledSeqs: new Map() }

/** Settled sequence of a holder that has settled no reservation yet. Sequences start at 1. */
export const initialSettledSeq = 0

/**
 * Top-ups stored per budget. A repeated top-up is recognised only while it is
 * among them. Every flush rewrites the whole shard: with 147 budgets that is up
 * to 58 KB for 8 top-ups and up to 102 KB for 16.
 */
export const maxRememberedTopUps = 8

/** Why a budget could not be created or topped up. */
export type BudgetChangeError =
  | { readonly kind: 'unknownBudget' }
  | { readonly kind: 'budgetExists' }
  /** The operation id was already used with the amount `tokens`. */
  | { readonly kind: 'operationReused', readonly tokens: number }
  | { readonly kind: 'badAmount' }

/** Granted tokens that are neither spent nor assigned to a slice. */
export function freeTokens (entry: BudgetEntry): number {
  return entry.grantedTokens - entry.spentTokens - entry.slices.reduce((sum, slice) => sum + slice.capTokens, 0)
}

export function findSlice (entry: BudgetEntry | undefined, holder: string): Slice | undefined {
  return entry?.slices.find(slice => slice.holder === holder)
}

/** Holders with a slice in the shard. */
export function holdersOf (shard: BudgetShard): ReadonlySet<string> {
  return new Set([...shard.budgets.values()].flatMap(entry => entry.slices.map(slice => slice.holder)))
}

function withBudget (shard: BudgetShard, budget: string, entry: BudgetEntry): BudgetShard {
  return { ...shard, budgets: new Map(shard.budgets).set(budget, entry) }
}

function isAmount (tokens: number): boolean {
  return Number.isSafeInteger(tokens) && tokens > 0
}

export interface NewBudget {
  readonly budget: string
  readonly organisation: string
  readonly grantedTokens: number
  /** Makes the creation idempotent. */
  readonly operationId: string
}

/** Adds a budget. Idempotent: a repeated operation returns the shard unchanged. */
export function createBudget (shard: BudgetShard, added: NewBudget): Result<BudgetShard, BudgetChangeError> {
  const present = shard.budgets.get(added.budget)
  const isRepeat = present !== undefined && present.organisation === added.organisation &&
    present.topUps.some(topUp => topUp.operationId === added.operationId && topUp.tokens === added.grantedTokens)
  if (isRepeat) return Ok(shard)
  if (present !== undefined) return Err({ kind: 'budgetExists' })
  if (!Number.isSafeInteger(added.grantedTokens) || added.grantedTokens < 0) return Err({ kind: 'badAmount' })
  return Ok(withBudget(shard, added.budget, {
    organisation: added.organisation,
    grantedTokens: added.grantedTokens,
    spentTokens: 0,
    topUps: [{ operationId: added.operationId, tokens: added.grantedTokens }],
    slices: []
  }))
}

/** Adds tokens to a budget's grant. Idempotent: a repeated operation returns the shard unchanged. */
export function topUpBudget (shard: BudgetShard, budget: string, operationId: string, tokens: number): Result<BudgetShard, BudgetChangeError> {
  const entry = shard.budgets.get(budget)
  if (entry === undefined) return Err({ kind: 'unknownBudget' })
  const earlier = entry.topUps.find(topUp => topUp.operationId === operationId)
  if (earlier !== undefined) return earlier.tokens === tokens ? Ok(shard) : Err({ kind: 'operationReused', tokens: earlier.tokens })
  if (!isAmount(tokens) || !Number.isSafeInteger(entry.grantedTokens + tokens)) return Err({ kind: 'badAmount' })
  return Ok(withBudget(shard, budget, {
    ...entry,
    grantedTokens: entry.grantedTokens + tokens,
    topUps: [...entry.topUps, { operationId, tokens }].slice(-maxRememberedTopUps)
  }))
}

/** New values of a holder's slice. `isClosed` removes the slice and adds `settledTokens` to the spent tokens. */
export interface SliceChange {
  readonly budget: string
  readonly capTokens: number
  readonly settledTokens: number
  readonly isClosed: boolean
}

function changeSlice (entry: BudgetEntry, holder: string, change: SliceChange): BudgetEntry {
  const others = entry.slices.filter(slice => slice.holder !== holder)
  if (change.isClosed) return { ...entry, spentTokens: entry.spentTokens + change.settledTokens, slices: others }
  const slice: Slice = { holder, capTokens: change.capTokens, settledTokens: change.settledTokens }
  const index = entry.slices.findIndex(present => present.holder === holder)
  return { ...entry, slices: index < 0 ? [...entry.slices, slice] : entry.slices.with(index, slice) }
}

/**
 * Applies changes to a holder's slices. All values are absolute. The settled
 * sequence covers all slices of the holder, so a caller that raises it must
 * pass the settled tokens of each of them.
 */
export function changeSlices (shard: BudgetShard, holder: string, settledSeq: number, changes: readonly SliceChange[]): BudgetShard {
  const budgets = new Map(shard.budgets)
  for (const change of changes) {
    const entry = budgets.get(change.budget)
    if (entry !== undefined) budgets.set(change.budget, changeSlice(entry, holder, change))
  }
  const settledSeqs = new Map(shard.settledSeqs)
  const next = { budgets, settledSeqs }
  if (holdersOf(next).has(holder)) settledSeqs.set(holder, settledSeq)
  else settledSeqs.delete(holder)
  return next
}

/** Closes all slices of a lost holder. `spentOf` returns the tokens spent from a slice, between its settled tokens and its cap. */
export function closeSlices (shard: BudgetShard, holder: string, spentOf: (budget: string, slice: Slice, settledSeq: number) => number): BudgetShard {
  const settledSeq = shard.settledSeqs.get(holder) ?? initialSettledSeq
  const changes = [...shard.budgets].flatMap(([budget, entry]) => {
    const slice = findSlice(entry, holder)
    if (slice === undefined) return []
    return [{ budget, capTokens: slice.capTokens, settledTokens: spentOf(budget, slice, settledSeq), isClosed: true }]
  })
  return changeSlices(shard, holder, settledSeq, changes)
}
