/** Invariants of a stored shard, checked before each write. */
import { findSlice, freeTokens, initialSettledSeq, type BudgetEntry, type BudgetShard, type Slice } from './shard.ts'

/** Thrown for a write that would break an invariant; the write must not be sent. */
export class BudgetInvariantError extends Error {
  override readonly name = 'BudgetInvariantError'
}

/**
 * The writer of a shard. A holder changes its own slices, a reclaim closes the
 * slices of one lost holder, and an operator changes grants.
 */
export type ShardWriter =
  | { readonly kind: 'holder', readonly holder: string }
  | { readonly kind: 'reclaim', readonly holder: string }
  | { readonly kind: 'operator' }

function check (isTrue: boolean, budget: string, text: string): void {
  if (!isTrue) throw new BudgetInvariantError(`budget ${budget}: ${text}`)
}

function isCount (tokens: number): boolean {
  return Number.isSafeInteger(tokens) && tokens >= 0
}

function checkEntry (budget: string, entry: BudgetEntry): void {
  check(isCount(entry.grantedTokens) && isCount(entry.spentTokens), budget, 'granted and spent tokens must be non-negative safe integers')
  check(freeTokens(entry) >= 0, budget, 'the sum of spent tokens and slice caps exceeds the granted tokens')
  const holders = new Set(entry.slices.map(slice => slice.holder))
  check(holders.size === entry.slices.length, budget, 'a holder has more than one slice')
  for (const slice of entry.slices) checkSlice(budget, slice)
}

function checkSlice (budget: string, slice: Slice): void {
  check(isCount(slice.capTokens) && isCount(slice.settledTokens), budget, 'cap and settled tokens of a slice must be non-negative safe integers')
  check(slice.settledTokens <= slice.capTokens, budget, `settled tokens of holder ${slice.holder} exceed its cap`)
}

function checkOwnSlice (budget: string, writer: ShardWriter, before: BudgetEntry, after: BudgetEntry, holder: string): void {
  const old = findSlice(before, holder)
  const present = findSlice(after, holder)
  const addedSpent = after.spentTokens - before.spentTokens
  if (old !== undefined && present === undefined) {
    check(addedSpent >= old.settledTokens && addedSpent <= old.capTokens, budget, `the spent tokens of the closed slice of ${holder} are not between its settled tokens and its cap`)
    return
  }
  check(addedSpent === 0, budget, 'spent tokens changed without a closed slice')
  check(writer.kind === 'holder' || present === undefined, budget, 'a reclaim may only close slices')
  check((present?.settledTokens ?? 0) >= (old?.settledTokens ?? 0), budget, `settled tokens of holder ${holder} decreased`)
}

function checkChange (budget: string, writer: ShardWriter, before: BudgetEntry, after: BudgetEntry): void {
  check(before.organisation === after.organisation, budget, 'the organisation of a budget must not change')
  if (writer.kind === 'operator') {
    check(after.grantedTokens >= before.grantedTokens, budget, 'granted tokens decreased')
    check(after.spentTokens === before.spentTokens && after.slices === before.slices, budget, 'an operator may only change grants')
    return
  }
  check(after.grantedTokens === before.grantedTokens, budget, 'only an operator may change granted tokens')
  const foreign = (entry: BudgetEntry) => entry.slices.filter(slice => slice.holder !== writer.holder)
  const others = foreign(after)
  check(foreign(before).every((slice, index) => slice === others[index]) && others.length === foreign(before).length,
    budget, `writer ${writer.holder} changed the slice of another holder`)
  checkOwnSlice(budget, writer, before, after, writer.holder)
}

/** Throws `BudgetInvariantError` when `after` must not be written over `before` by this writer. */
export function assertShardWrite (before: BudgetShard, after: BudgetShard, writer: ShardWriter): void {
  for (const budget of before.budgets.keys()) check(after.budgets.has(budget), budget, 'a budget was removed')
  for (const [budget, entry] of after.budgets) {
    const old = before.budgets.get(budget)
    if (old === entry) continue
    checkEntry(budget, entry)
    if (old !== undefined) checkChange(budget, writer, old, entry)
    else check(writer.kind === 'operator' && entry.spentTokens === 0 && entry.slices.length === 0, budget, 'only an operator may create a budget, and without spent tokens or slices')
  }
  for (const [holder, settledSeq] of after.settledSeqs) {
    check(settledSeq >= (before.settledSeqs.get(holder) ?? initialSettledSeq), holder, 'the settled sequence of the holder decreased')
  }
}
