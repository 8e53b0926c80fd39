/** Converts budget shards between `BudgetShard` and their compact stored form. */
import { Err, Ok, type Result } from 'ts-results-es'
import { emptyShard, type BudgetEntry, type BudgetShard, type Slice, type TopUp } from '@buckthorndrift/policy'
import { storedShardSchema, type StoredShard } from './layout.ts'

function decodeTopUps (topUps: readonly (string | number)[]): readonly TopUp[] {
  const pairs: TopUp[] = []
  for (let index = 0; index + 1 < topUps.length; index += 2) {
    pairs.push({ operationId: String(topUps[index]), tokens: Number(topUps[index + 1]) })
  }
  return pairs
}

function decodeSlices (flat: readonly number[], holders: readonly (readonly [string, number])[]): readonly Slice[] {
  const slices: Slice[] = []
  for (let index = 0; index + 2 < flat.length; index += 3) {
    const holder = holders[flat[index] ?? -1]?.[0]
    if (holder === undefined) throw new Error(`slice refers to unknown holder index ${flat[index]}`)
    slices.push({ holder, capTokens: flat[index + 1] ?? 0, settledTokens: flat[index + 2] ?? 0 })
  }
  return slices
}

/** Decodes a stored shard; `undefined`, for a missing object, gives an empty shard. Fails with a message if the value is malformed. */
export function decodeShard (value: unknown): Result<BudgetShard, string> {
  if (value === undefined) return Ok(emptyShard)
  const stored = storedShardSchema.safeParse(value)
  if (!stored.success) return Err(`stored budget shard is malformed: ${stored.error.issues[0]?.message ?? 'unknown issue'}`)
  try {
    return Ok(decodeStored(stored.data))
  } catch (error) {
    return Err(`stored budget shard is malformed: ${String(error)}`)
  }
}

function decodeStored (stored: StoredShard): BudgetShard {
  const budgets = new Map<string, BudgetEntry>()
  for (const [budget, organisation, grantedTokens, spentTokens, topUps, slices] of stored.b) {
    budgets.set(budget, { organisation, grantedTokens, spentTokens, topUps: decodeTopUps(topUps), slices: decodeSlices(slices, stored.h) })
  }
  return { budgets, settledSeqs: new Map(stored.h) }
}

/** Encodes a shard for storage. */
export function encodeShard (shard: BudgetShard): StoredShard {
  const holders = [...shard.settledSeqs.keys()]
  const indexes = new Map(holders.map((holder, index) => [holder, index]))
  const slice = ({ holder, capTokens, settledTokens }: Slice) => {
    const index = indexes.get(holder)
    if (index === undefined) throw new Error(`holder ${holder} has a slice but no settled sequence number`)
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
