export { OverloadGuard } from './overloadGuard.ts'
export { RateUtilization } from './rateUtilization.ts'
