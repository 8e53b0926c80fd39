/** Budgets as the administration API needs them; the platform package stores them. */
import type { Result } from 'ts-results-es'
import type { AdminProblem } from './problem.ts'

export interface BudgetBalance {
  readonly grantedTokens: number
  /** Tokens of closed slices and settled tokens of open ones. */
  readonly spentTokens: number
  /** Unsettled tokens in slices. */
  readonly heldTokens: number
}

/** `budget` is a full name, `<organisation>/<budget>`. */
export interface BudgetAdministration {
  /** Creates the budget; the same operation id again returns the present balance, another one is a conflict. */
  create (budget: string, grantedTokens: number, operationId: string): Promise<Result<BudgetBalance, AdminProblem>>
  /** Grants tokens once per operation id; the same id with another amount is a conflict. */
  topUp (budget: string, tokens: number, operationId: string): Promise<Result<BudgetBalance, AdminProblem>>
  /** Balances by name; a budget that does not exist is left out. */
  read (budgets: readonly string[]): Promise<Result<ReadonlyMap<string, BudgetBalance>, AdminProblem>>
}
