export { RefusalAccounts, type CountedRefusals, type RefusalAccountsOptions, type RefusalCause } from './refusalAccounts.ts'
export { RecordBuffer, type RecordBatch, type RecordBufferOptions } from './recordBuffer.ts'
export { AccountCopies, type CopiedAccount } from './accountCopies.ts'
