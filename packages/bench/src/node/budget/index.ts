/** Bench `budget`. */
export { benchBudgets, type BudgetBenchFigures, type ScenarioFigures } from './budgetBench.ts'
