/** Budgets of a router. */
export { createBudgetPlugin, type BudgetPluginOptions } from './budgetPlugin.ts'
