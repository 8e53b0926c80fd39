export { OverloadGuard } from './overloadGuard.ts'
export { RateUse } from './rateUse.ts'
