/** Budget ledger in the platform: object layout, codec and operators' changes. */
export {
  budgetLayoutObject, budgetLayoutSchema, budgetShardObject, defaultBudgetShards,
  storedShardSchema, type BudgetLayout, type StoredShard
} from './layout.ts'
export { decodeShard, encodeShard } from './codec.ts'
export {
  createStoredBudget, ensureBudgetLayout, readBudget, readBudgetShard, readOrganisationBudgets, topUpStoredBudget,
  type BudgetOperationError, type BudgetReport
} from './operations.ts'
