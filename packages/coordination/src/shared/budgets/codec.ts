/** Maps between the stored form of a shard and its readable form. */
import { Err, Ok, type Result } from 'ts-results-es'
import { emptyShard, type BudgetEntry, type BudgetShard, type Slice, type TopUp } from '@buckthorndrift/policy'
import { storedShardSchema, type StoredShard } from './layout.ts'

function pairsOf (topUps: readonly (string | number)[]): readonly TopUp[] {
  const pairs: TopUp[] = []
  for (let index = 0; index + 1 < topUps.length; index += 2) {
    pairs.push({ operationId: String(topUps[index]), tokens: Number(topUps[index + 1]) })
  }
  return pairs
}

function slicesOf (flat: readonly number[], holders: readonly (readonly [string, number])[]): readonly Slice[] {
  const slices: Slice[] = []
  for (let index = 0; index + 2 < flat.length; index += 3) {
    const holder = holders[flat[index] ?? -1]?.[0]
    if (holder === undefined) throw new Error(`slice of unknown holder ${flat[index]}`)
    slices.push({ holder, capTokens: flat[index + 1] ?? 0, settledTokens: flat[index + 2] ?? 0 })
  }
  return slices
}

/** Reads a stored shard; an absent object is an empty shard. Fails with a text when the value has another form. */
export function decodeShard (value: unknown): Result<BudgetShard, string> {
  if (value === undefined) return Ok(emptyShard)
  const stored = storedShardSchema.safeParse(value)
  if (!stored.success) return Err(`stored budget shard is malformed: ${stored.error.issues[0]?.message ?? 'unknown issue'}`)
  try {
    return Ok(readStored(stored.data))
  } catch (error) {
    return Err(`stored budget shard is malformed: ${String(error)}`)
  }
}

function readStored (stored: StoredShard): BudgetShard {
  const budgets = new Map<string, BudgetEntry>()
  for (const [budget, organisation, grantedTokens, spentTokens, topUps, slices] of stored.b) {
    budgets.set(budget, { organisation, grantedTokens, spentTokens, topUps: pairsOf(topUps), slices: slicesOf(slices, stored.h) })
  }
  return { budgets, settledSeqs: new Map(stored.h) }
}

/** Stored form of a shard. */
export function encodeShard (shard: BudgetShard): StoredShard {
  const holders = [...shard.settledSeqs.keys()]
  const indexes = new Map(holders.map((holder, index) => [holder, index]))
  const slice = ({ holder, capTokens, settledTokens }: Slice) => {
    const index = indexes.get(holder)
    if (index === undefined) throw new Error(`no settled sequence of ${holder}`)
    return [index, capTokens, settledTokens]
  }
  return {
    f: 1,
    h: holders.map(holder => [holder, shard.settledSeqs.get(holder) ?? 0]),
    b: [...shard.budgets].map(([budget, entry]) => [
      budget, entry.organisation, entry.grantedTokens, entry.spentTokens,
      entry.topUps.flatMap(topUp => [topUp.operationId, topUp.tokens]), entry.slices.flatMap(slice)
    ])
  }
}
