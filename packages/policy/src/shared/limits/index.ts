export { coldShare, type ColdLimit, type ColdShare } from './coldShare.ts'
export { KnownLimit, type LimitReport } from './knownLimit.ts'
export { limitIntervalMs, participantCount, type LimitShare } from './limitShare.ts'
export { ReturnTimes, type ReturnInput } from './returnTimes.ts'
