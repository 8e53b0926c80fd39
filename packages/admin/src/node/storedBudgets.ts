/** Budgets in the platform's objects, for the administration API. */
import { Ok, type Result } from 'ts-results-es'
import { assertNever } from '@buckthorndrift/kernel'
import {
  createStoredBudget, defaultBudgetShards, ensureBudgetLayout, readBudgetShard, topUpStoredBudget, type BudgetOperationError, type BudgetReport, type ObjectStore
} from '@buckthorndrift/coordination'
import { shardOf, type BudgetEntry } from '@buckthorndrift/policy'
import type { BudgetAdministration, BudgetBalance } from '../shared/budgetAdministration.ts'
import { problemOf, type AdminProblem } from '../shared/problem.ts'

/** Shards read at the same time, to stay within the platform's rate limits. */
const concurrentReads = 8

function problemFrom (error: BudgetOperationError): AdminProblem {
  switch (error.kind) {
    case 'unknownBudget': return problemOf('notFound', 'the budget was not created completely; create it again with the same operation id')
    case 'budgetExists': return problemOf('conflict', 'the budget exists already; grant further tokens with a top-up')
    case 'operationReused': return problemOf('conflict', `the operation id was used before with ${error.tokens} tokens; choose another one`)
    case 'badAmount': return problemOf('badRequest', 'the number of tokens is out of range')
    case 'unavailable': return problemOf('unavailable', `the platform did not answer: ${error.detail}; repeat with the same operation id`, { mayHaveApplied: true })
    case 'malformed': return problemOf('internal', error.detail)
    default: return assertNever(error)
  }
}

function balanceOfReport ({ grantedTokens, spentTokens, heldTokens }: BudgetReport): BudgetBalance {
  return { grantedTokens, spentTokens, heldTokens }
}

function balanceOfEntry ({ grantedTokens, spentTokens, slices }: BudgetEntry): BudgetBalance {
  const settledTokens = slices.reduce((sum, slice) => sum + slice.settledTokens, 0)
  const capTokens = slices.reduce((sum, slice) => sum + slice.capTokens, 0)
  return { grantedTokens, spentTokens: spentTokens + settledTokens, heldTokens: capTokens - settledTokens }
}

/** The organisation is the first part of a full budget name. */
function organisationOf (budget: string): string {
  return budget.slice(0, budget.indexOf('/'))
}

/**
 * Creates the administration of budgets on an object store. `shards` is used
 * only when there is no layout yet; it has to be there before the first budget.
 */
export function createStoredBudgets (store: ObjectStore, shards: number = defaultBudgetShards): BudgetAdministration {
  return {
    async create (budget, grantedTokens, operationId) {
      const layout = await ensureBudgetLayout(store, shards)
      if (layout.isErr()) return layout.mapErr(problemFrom)
      const created = await createStoredBudget(store, { budget, organisation: organisationOf(budget), grantedTokens, operationId })
      return created.map(balanceOfReport).mapErr(problemFrom)
    },

    async topUp (budget, tokens, operationId) {
      return (await topUpStoredBudget(store, budget, operationId, tokens)).map(balanceOfReport).mapErr(problemFrom)
    },

    async read (budgets): Promise<Result<ReadonlyMap<string, BudgetBalance>, AdminProblem>> {
      const layout = await ensureBudgetLayout(store, shards)
      if (layout.isErr()) return layout.mapErr(problemFrom)
      const balances = new Map<string, BudgetBalance>()
      const wanted = [...new Set(budgets.map(budget => shardOf(budget, layout.value.shards)))]
      for (let first = 0; first < wanted.length; first += concurrentReads) {
        const reads = await Promise.all(wanted.slice(first, first + concurrentReads).map(shard => readBudgetShard(store, shard)))
        for (const read of reads) {
          if (read.isErr()) return read.mapErr(problemFrom)
          for (const budget of budgets) {
            const entry = read.value.shard.budgets.get(budget)
            if (entry !== undefined) balances.set(budget, balanceOfEntry(entry))
          }
        }
      }
      return Ok(balances)
    }
  }
}
