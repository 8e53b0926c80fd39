/** Plugin that provides the budget administration on the platform's object store. */
import { definePlugin, type Plugin } from '@buckthorndrift/kernel'
import { objectStoreKey } from '@buckthorndrift/coordination'
import { budgetAdministrationKey } from './adminPlugin.ts'
import { createStoredBudgets } from './storedBudgets.ts'

export interface StoredBudgetsOptions {
  /** Number of budget shards when the layout is first created; the default of the coordination package when absent. */
  readonly shards?: number
}

/** Creates the plugin. Provides `budgetAdministrationKey` and requires the object store. */
export function createStoredBudgetsPlugin (options: StoredBudgetsOptions = {}): Plugin {
  return definePlugin({
    name: 'storedBudgets',
    setup (context) {
      context.provide(budgetAdministrationKey, createStoredBudgets(context.use(objectStoreKey), options.shards))
      return undefined
    }
  })
}
