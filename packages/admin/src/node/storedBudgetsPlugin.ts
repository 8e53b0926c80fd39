/** Budgets of the platform's ledger for the administration API. */
import { Err, Ok, type Result } from 'ts-results-es'
import { assertNever, definePlugin, type Plugin } from '@buckthorndrift/kernel'
import {
  createBudgetOn, objectStoreKey, readBudget, topUpBudgetOn, type BudgetOperationError, type BudgetReport, type ObjectStore
} from '@buckthorndrift/platform'
import type { BudgetAdministration, BudgetBalance } from '../shared/budgetAdministration.ts'
import { problemOf, type AdminProblem } from '../shared/problem.ts'
import { budgetAdministrationKey } from './adminPlugin.ts'

function problemFor (budget: string, error: BudgetOperationError): AdminProblem {
  switch (error.kind) {
    case 'unknownBudget': return problemOf('notFound', `there is no budget ${budget}`)
    case 'budgetExists': return problemOf('conflict', `budget ${budget} exists already`)
    case 'operationReused': return problemOf('conflict', `this operation id was used before for ${error.tokens} tokens; use a new one for another amount`)
    case 'badAmount': return problemOf('badRequest', 'the amount must be a whole number of tokens above 0')
    case 'unavailable': return problemOf('unavailable', `the platform did not answer: ${error.detail}; repeat with the same operation id, it counts once`, { mayHaveApplied: true })
    case 'malformed': return problemOf('internal', error.detail)
    default: return assertNever(error)
  }
}

function balanceOf ({ grantedTokens, spentTokens, heldTokens }: BudgetReport): BudgetBalance {
  return { grantedTokens, spentTokens, heldTokens }
}

function answer (budget: string, result: Result<BudgetReport, BudgetOperationError>): Result<BudgetBalance, AdminProblem> {
  return result.map(balanceOf).mapErr(error => problemFor(budget, error))
}

function organisationOf (budget: string): string {
  return budget.slice(0, budget.indexOf('/'))
}

async function readAll (store: ObjectStore, budgets: readonly string[]): Promise<Result<ReadonlyMap<string, BudgetBalance>, AdminProblem>> {
  const balances = new Map<string, BudgetBalance>()
  for (const budget of budgets) {
    const report = await readBudget(store, budget)
    if (report.isErr()) return Err(problemFor(budget, report.error))
    if (report.value !== undefined) balances.set(budget, balanceOf(report.value))
  }
  return Ok(balances)
}

/** Provides `budgetAdministrationKey`; needs the object store. */
export function createStoredBudgetsPlugin (): Plugin {
  return definePlugin({
    name: 'storedBudgets',
    setup (context) {
      const store = context.use(objectStoreKey)
      const service: BudgetAdministration = {
        create: async (budget, grantedTokens, operationId) =>
          answer(budget, await createBudgetOn(store, { budget, organisation: organisationOf(budget), grantedTokens, operationId })),
        topUp: async (budget, tokens, operationId) => answer(budget, await topUpBudgetOn(store, budget, operationId, tokens)),
        read: budgets => readAll(store, budgets)
      }
      context.provide(budgetAdministrationKey, service)
      return undefined
    }
  })
}
