/** Budget administration on the budget shards in the platform's object store. */
import { Ok, type Result } from 'ts-results-es'
import { assertNever } from '@buckthorndrift/kernel'
import {
  createStoredBudget, defaultBudgetShards, ensureBudgetLayout, readBudgetShard, topUpStoredBudget, type BudgetOperationError, type BudgetReport, type ObjectStore
} from '@buckthorndrift/coordination'
import { shardOf, type BudgetEntry } from '@buckthorndrift/policy'
import type { BudgetAdministration, BudgetBalance } from '../shared/budgetAdministration.ts'
import { problemOf, type AdminProblem } from '../shared/problem.ts'

/** Shards read in parallel. Bounded to stay within the platform's rate limits. */
const maxConcurrentReads = 8

function problemOfError (error: BudgetOperationError): AdminProblem {
  switch (error.kind) {
    case 'unknownBudget': return problemOf('notFound', 'the budget was not created completely; create it again with the same operation id')
    case 'budgetExists': return problemOf('conflict', 'the budget already exists; grant further tokens with a top-up')
    case 'operationReused': return problemOf('conflict', `the operation id was already used for ${error.tokens} tokens; choose another one`)
    case 'badAmount': return problemOf('badRequest', 'the number of tokens is out of range')
    case 'unavailable': return problemOf('unavailable', `the platform did not respond: ${error.detail}; repeat the call with the same operation id`, { mayHaveApplied: true })
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

/** Returns the organisation in a full budget name, `<organisation>/<budget>`. */
function organisationOf (budget: string): string {
  return budget.slice(0, budget.indexOf('/'))
}

/**
 * Creates the administration of budgets in an object store. The stored layout
 * gives the number of budget shards. It is written before the first budget and
 * never changes, so `shards` has an effect only if there is no layout yet.
 */
export function createStoredBudgets (store: ObjectStore, shards: number = defaultBudgetShards): BudgetAdministration {
  return {
    async create (budget, grantedTokens, operationId) {
      const layout = await ensureBudgetLayout(store, shards)
      if (layout.isErr()) return layout.mapErr(problemOfError)
      const created = await createStoredBudget(store, { budget, organisation: organisationOf(budget), grantedTokens, operationId })
      return created.map(balanceOfReport).mapErr(problemOfError)
    },

    async topUp (budget, tokens, operationId) {
      return (await topUpStoredBudget(store, budget, operationId, tokens)).map(balanceOfReport).mapErr(problemOfError)
    },

    async read (budgets): Promise<Result<ReadonlyMap<string, BudgetBalance>, AdminProblem>> {
      const layout = await ensureBudgetLayout(store, shards)
      if (layout.isErr()) return layout.mapErr(problemOfError)
      const balances = new Map<string, BudgetBalance>()
      const shardNumbers = [...new Set(budgets.map(budget => shardOf(budget, layout.value.shards)))]
      for (let batchStart = 0; batchStart < shardNumbers.length; batchStart += maxConcurrentReads) {
        const reads = await Promise.all(shardNumbers.slice(batchStart, batchStart + maxConcurrentReads).map(shard => readBudgetShard(store, shard)))
        for (const read of reads) {
          if (read.isErr()) return read.mapErr(problemOfError)
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
