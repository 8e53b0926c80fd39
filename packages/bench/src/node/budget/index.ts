/** Benchmark of the budget ledger. */
export { benchBudgets, type BudgetBenchFigures, type ScenarioFigures } from './budgetBench.ts'
