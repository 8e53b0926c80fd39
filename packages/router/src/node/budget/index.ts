/** Budget plugin of the router. */
export { createBudgetPlugin, type BudgetPluginOptions } from './budgetPlugin.ts'
