export { OverloadGuard, type ResourceUse } from './overloadGuard.ts'
export { linkAveragingMs, processorAveragingMs, RateUtilization } from './rateUtilization.ts'
export { MeanWait } from './meanWait.ts'
