/** Budgets of the platform's ledger for the administration API. */
import { definePlugin, type Plugin } from '@buckthorndrift/kernel'
import { objectStoreKey } from '@buckthorndrift/coordination'
import { budgetAdministrationKey } from './adminPlugin.ts'
import { createStoredBudgets } from './storedBudgets.ts'

export interface StoredBudgetsOptions {
  /** Shards of the ledger when its layout is created; the default of the platform package when absent. */
  readonly shards?: number
}

/** Provides `budgetAdministrationKey`; needs the object store. */
export function createStoredBudgetsPlugin (options: StoredBudgetsOptions = {}): Plugin {
  return definePlugin({
    name: 'storedBudgets',
    setup (context) {
      context.provide(budgetAdministrationKey, createStoredBudgets(context.use(objectStoreKey), options.shards))
      return undefined
    }
  })
}
