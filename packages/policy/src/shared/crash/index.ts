export { CrashEvidence, type StoredCrash, type StoredCrashes } from './crashEvidence.ts'
export { CrashSuspects, type CrashReport, type CrashSuspectsOptions } from './crashSuspects.ts'
export { maxEvidenceObjects, planEvidenceRemoval, type EvidenceEntry } from './evidenceRetention.ts'
