export { backoffMs, decideRetry, maxAttempts, type RetryDecision, type RetryInput } from './decideRetry.ts'
export { HedgeDelay } from './hedgeDelay.ts'
export { defaultRetryBudget, RetryBudget, type RetryBudgetSettings } from './retryBudget.ts'
