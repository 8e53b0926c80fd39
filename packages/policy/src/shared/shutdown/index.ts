export { canEndBeforeStop, type GraceAdmissionInput } from './graceAdmission.ts'
export { RecentDurations } from './recentDurations.ts'
