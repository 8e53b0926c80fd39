export { CrashEvidence, type StoredCrash, type StoredCrashes } from './crashEvidence.ts'
