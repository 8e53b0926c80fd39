export { OverloadGuard } from './overloadGuard.ts'
export { RateUse } from './rateUtilization.ts'
