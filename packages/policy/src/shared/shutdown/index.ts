export { canEndBeforeStop, type GraceAdmissionInput } from './graceAdmission.ts'
export { RecentDurations, type Durations } from './recentDurations.ts'
