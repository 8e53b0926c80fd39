/** Invariants of a stored shard, asserted before each write. */
import { findSlice, freeTokens, noSettledSeq, type BudgetEntry, type BudgetShard, type Slice } from './shard.ts'

/** A write that would break an invariant; the write has to be stopped. */
export class BudgetInvariantError extends Error {
  override readonly name = 'BudgetInvariantError'
}

/** Who writes: a holder its own slices, a reclaim the slices of one lost holder, an operator grants. */
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
  check(isCount(entry.grantedTokens) && isCount(entry.spentTokens), budget, 'granted and spent tokens must be counts')
  check(freeTokens(entry) >= 0, budget, 'spent tokens and caps exceed the granted tokens')
  const holders = new Set(entry.slices.map(slice => slice.holder))
  check(holders.size === entry.slices.length, budget, 'a holder has two slices')
  for (const slice of entry.slices) checkSlice(budget, slice)
}

function checkSlice (budget: string, slice: Slice): void {
  check(isCount(slice.capTokens) && isCount(slice.settledTokens), budget, 'slice values must be counts')
  check(slice.settledTokens <= slice.capTokens, budget, `settled tokens of ${slice.holder} exceed its cap`)
}

function checkOwnSlice (budget: string, writer: ShardWriter, before: BudgetEntry, after: BudgetEntry, holder: string): void {
  const old = findSlice(before, holder)
  const present = findSlice(after, holder)
  const addedSpent = after.spentTokens - before.spentTokens
  if (old !== undefined && present === undefined) {
    check(addedSpent >= old.settledTokens && addedSpent <= old.capTokens, budget, `slice of ${holder} closed outside its settled tokens and cap`)
    return
  }
  check(addedSpent === 0, budget, 'spent tokens change only when a slice is closed')
  check(writer.kind === 'holder' || present === undefined, budget, 'a reclaim closes slices and changes no others')
  check((present?.settledTokens ?? 0) >= (old?.settledTokens ?? 0), budget, `settled tokens of ${holder} decrease`)
}

function checkChange (budget: string, writer: ShardWriter, before: BudgetEntry, after: BudgetEntry): void {
  check(before.organisation === after.organisation, budget, 'the organisation of a budget never changes')
  if (writer.kind === 'operator') {
    check(after.grantedTokens >= before.grantedTokens, budget, 'granted tokens decrease')
    check(after.spentTokens === before.spentTokens && after.slices === before.slices, budget, 'an operator changes only grants')
    return
  }
  check(after.grantedTokens === before.grantedTokens, budget, 'only operators change grants')
  const foreign = (entry: BudgetEntry) => entry.slices.filter(slice => slice.holder !== writer.holder)
  const others = foreign(after)
  check(foreign(before).every((slice, index) => slice === others[index]) && others.length === foreign(before).length,
    budget, `${writer.holder} changes the slice of another holder`)
  checkOwnSlice(budget, writer, before, after, writer.holder)
}

/** Throws `BudgetInvariantError` when `after` must not be written over `before` by this writer. */
export function assertShardWrite (before: BudgetShard, after: BudgetShard, writer: ShardWriter): void {
  for (const budget of before.budgets.keys()) check(after.budgets.has(budget), budget, 'a budget disappears')
  for (const [budget, entry] of after.budgets) {
    const old = before.budgets.get(budget)
    if (old === entry) continue
    checkEntry(budget, entry)
    if (old !== undefined) checkChange(budget, writer, old, entry)
    else check(writer.kind === 'operator' && entry.spentTokens === 0 && entry.slices.length === 0, budget, 'only operators create budgets')
  }
  for (const [holder, settledSeq] of after.settledSeqs) {
    check(settledSeq >= (before.settledSeqs.get(holder) ?? noSettledSeq), holder, 'the settled sequence decreases')
  }
}
