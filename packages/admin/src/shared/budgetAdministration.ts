/** Interface through which the administration API creates, tops up and reads budgets. */
import type { Result } from 'ts-results-es'
import type { AdminProblem } from './problem.ts'

export interface BudgetBalance {
  readonly grantedTokens: number
  /** Tokens spent from closed slices, and settled tokens of open slices. A slice is the part of a budget that one holder may spend. */
  readonly spentTokens: number
  /** Unsettled tokens in open slices. */
  readonly heldTokens: number
}

/** Budgets are given by full name, `<organisation>/<budget>`. */
export interface BudgetAdministration {
  /** Creates a budget. Repeating the call with the same operation id returns the present balance; with another id it is a conflict. */
  create (budget: string, grantedTokens: number, operationId: string): Promise<Result<BudgetBalance, AdminProblem>>
  /** Grants tokens, once per operation id. Reusing an id with another amount is a conflict. */
  topUp (budget: string, tokens: number, operationId: string): Promise<Result<BudgetBalance, AdminProblem>>
  /** Returns balances by full name, without budgets that do not exist. */
  read (budgets: readonly string[]): Promise<Result<ReadonlyMap<string, BudgetBalance>, AdminProblem>>
}
