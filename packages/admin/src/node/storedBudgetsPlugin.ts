/** Budgets of the platform's ledger for the administration API. */
import { definePlugin, type Plugin } from '@buckthorndrift/kernel'
import { objectStoreKey } from '@buckthorndrift/platform'
import { budgetAdministrationKey } from './adminPlugin.ts'
import { createStoredBudgets } from './storedBudgets.ts'

/** Provides `budgetAdministrationKey`; needs the object store. */
export function createStoredBudgetsPlugin (): Plugin {
  return definePlugin({
    name: 'storedBudgets',
    setup (context) {
      context.provide(budgetAdministrationKey, createStoredBudgets(context.use(objectStoreKey)))
      return undefined
    }
  })
}
