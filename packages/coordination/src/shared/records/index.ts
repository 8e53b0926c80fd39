export { billingBatchSchema, readBilling, readRefusals, recordObjectName, refusalBatchSchema, type RecordKind, type RecordRange } from './recordObjects.ts'
