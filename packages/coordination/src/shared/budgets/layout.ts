/** Names and schemas of the objects of the budget ledger. */
import { z } from 'zod'

/** Name of the object that holds the number of shards, which never changes once the object exists. */
export const budgetLayoutObject = 'budgets/layout'

export const defaultBudgetShards = 16

/** Returns the name of a shard's object, such as `budgets/0007`. */
export function budgetShardObject (shard: number): string {
  return `budgets/${String(shard).padStart(4, '0')}`
}

export const budgetLayoutSchema = z.object({ shards: z.number().int().min(1).max(9999) }).readonly()
export type BudgetLayout = z.infer<typeof budgetLayoutSchema>

const count = z.number().int().nonnegative()

/**
 * Stored form of a shard. It uses arrays instead of named fields, which reduces
 * its size to about a third, because every flush rewrites the whole shard:
 * - `f`: format version, 1
 * - `h`: holders, as `[holder, settledSeq]`
 * - `b`: budgets, as `[budget, organisation, grantedTokens, spentTokens, topUps, slices]`;
 *   `topUps` is the flat list `operationId, tokens, ...` and
 *   `slices` the flat list `index in h, capTokens, settledTokens, ...`
 */
export const storedShardSchema = z.object({
  f: z.literal(1),
  h: z.array(z.tuple([z.string(), count])),
  b: z.array(z.tuple([z.string(), z.string(), count, count, z.array(z.union([z.string(), count])), z.array(count)]))
})
export type StoredShard = z.infer<typeof storedShardSchema>
