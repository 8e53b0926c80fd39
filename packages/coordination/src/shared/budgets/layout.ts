/** Names and schemas of the objects of the budget ledger. */
import { z } from 'zod'

/** Object with the number of shards; fixed once it exists. */
export const budgetLayoutObject = 'budgets/layout'

export const defaultBudgetShards = 16

/** Object of a shard, `budgets/0007`. */
export function budgetShardObject (shard: number): string {
  return `budgets/${String(shard).padStart(4, '0')}`
}

export const budgetLayoutSchema = z.object({ shards: z.number().int().min(1).max(9999) }).readonly()
export type BudgetLayout = z.infer<typeof budgetLayoutSchema>

const count = z.number().int().nonnegative()

/**
 * Stored form of a shard. Arrays in place of named fields keep it at about a
 * third of the size, since every flush rewrites the whole shard:
 * - `f`: number of the format, 1
 * - `h`: holders as `[holder, settledSeq]`
 * - `b`: budgets as `[budget, organisation, grantedTokens, spentTokens, topUps, slices]`, with
 *   top-ups flat as `operationId, tokens, ...` and
 *   slices flat as `index in h, capTokens, settledTokens, ...`
 */
export const storedShardSchema = z.object({
  f: z.literal(1),
  h: z.array(z.tuple([z.string(), count])),
  b: z.array(z.tuple([z.string(), z.string(), count, count, z.array(z.union([z.string(), count])), z.array(count)]))
})
export type StoredShard = z.infer<typeof storedShardSchema>
