/** Budget ledger: stored shards, holders of slices, and the reclaim of slices of lost holders. */
export {
  changeSlices, closeSlices, createBudget, emptyShard, findSlice, freeTokens, holdersOf, noSettledSeq, rememberedTopUps, topUpBudget,
  type BudgetChangeError, type BudgetEntry, type BudgetShard, type NewBudget, type Slice, type SliceChange, type TopUp
} from './shard.ts'
export { assertShardWrite, BudgetInvariantError, type ShardWriter } from './invariants.ts'
export { rankCandidates, shardOf } from './hashing.ts'
export { defaultBudgetLimits, type BudgetLimits } from './limits.ts'
export { sliceTarget, SpendRate, type SliceNeeds } from './sizing.ts'
export { ShardHolder, type HolderOptions } from './shardHolder.ts'
export type { HolderEffect, ReadOutcome, ReserveAnswer, WriteOutcome } from './effects.ts'
export { FenceAnswers, type FenceEntry, type ReclaimEndpoint, type ReclaimHandover, type ReclaimRegistry } from './fenceAnswers.ts'
export { defaultReclaimLimits, HolderReclaim, type ReclaimEffect, type ReclaimLimits, type ReclaimOptions } from './holderReclaim.ts'
export {
  holderName, homesOf, isHolderOf, selectRouters, spreadRequestsPerSecond, type Homes, type PlacementRouter, type RouteInput
} from './placement.ts'
