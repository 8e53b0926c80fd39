export { KnownLimit, type LimitReport } from './knownLimit.ts'
