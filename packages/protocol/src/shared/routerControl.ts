/** Messages of the control API of router processes. */
import { z } from 'zod'
import { reservationSchema } from './call.ts'
import { digestSchema, documentSchema } from './documents.ts'
import { billingRecordSchema, refusalAccountSchema } from './records.ts'

const tokenCount = z.number().int().nonnegative()

/** Asks the home router of a budget shard for reservations. The home router holds slices (parts of budgets) and reserves from them on behalf of other routers. */
export const reserveInput = z.object({
  shard: z.number().int().nonnegative(),
  items: z.array(z.object({ budget: z.string(), tokens: tokenCount }).readonly()).max(1000).readonly()
}).readonly()
export type ReserveInput = z.infer<typeof reserveInput>

/** Result for one item; the response has one result per item, in the same order. */
export const reserveItemOutput = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('reserved'), reservation: reservationSchema, settledSeq: z.number().int() }),
  z.object({ kind: z.literal('exhausted'), retryAfterMs: z.number().optional() }),
  z.object({ kind: z.literal('unavailable'), retryAfterMs: z.number() })
]).readonly()
export type ReserveItemOutput = z.infer<typeof reserveItemOutput>

/** Settles reservations at their actual cost. Idempotent: a repeated settlement has no effect. */
export const settleInput = z.object({
  items: z.array(z.object({ budget: z.string(), reservation: reservationSchema, tokens: tokenCount }).readonly()).max(1000).readonly()
}).readonly()
export type SettleInput = z.infer<typeof settleInput>

/** Asks a router that holds slices of these budgets, usually the home router of another failure domain, to return its unused tokens. */
export const recallInput = z.object({
  shard: z.number().int().nonnegative(),
  budgets: z.array(z.string()).max(1000).readonly()
}).readonly()
export type RecallInput = z.infer<typeof recallInput>

/** Asks for the highest sequence number up to which all reservations of the holder are settled and stored. The response is -1 for an unknown holder. */
export const settledSeqInput = z.object({ holder: z.string(), shard: z.number().int().nonnegative() }).readonly()
export type SettledSeqInput = z.infer<typeof settledSeqInput>

/** Exchanges documents between two processes. The response contains documents that are newer than the versions in the caller's digest. */
export const exchangeInput = z.object({
  digest: digestSchema,
  /** Documents that the caller expects to be new to the receiver. */
  documents: z.array(documentSchema).max(200).readonly()
}).readonly()
export type ExchangeInput = z.infer<typeof exchangeInput>

export const exchangeOutput = z.object({
  /** Versions, at the responder, of documents on which both sides still differ after this response. If one is lower than the caller's, the caller should send the document. */
  digest: digestSchema,
  documents: z.array(documentSchema).readonly()
}).readonly()
export type ExchangeOutput = z.infer<typeof exchangeOutput>

/** Limit of the records or accounts in one message. */
export const maxRecordsPerMessage = 5000

/** Copies refusal accounts to another router. A higher count replaces a lower one of the same account. */
export const replicateAccountsInput = z.object({
  /** Router that counts the accounts, as `<routerId>.<incarnation>`. */
  writer: z.string(),
  /** All accounts with a number below this one are stored in the platform; their copies can be dropped. */
  storedBelow: z.number().int().nonnegative(),
  accounts: z.array(refusalAccountSchema).max(maxRecordsPerMessage).readonly()
}).readonly()
export type ReplicateAccountsInput = z.infer<typeof replicateAccountsInput>

/** Hands billing records over to a router, which writes them to the platform. */
export const handOverRecordsInput = z.object({
  records: z.array(billingRecordSchema).max(maxRecordsPerMessage).readonly()
}).readonly()
export type HandOverRecordsInput = z.infer<typeof handOverRecordsInput>

/** Reports that the back end of an endpoint, or the endpoint process itself, crashed. */
export const crashReportInput = z.object({
  endpointId: z.string(),
  incarnation: z.string(),
  /** Number of the crash in this incarnation, so that a repeated report is counted once. */
  crash: z.number().int().nonnegative(),
  /** Hashes of the content of the requests that were running. */
  contentHashes: z.array(z.string()).max(5000).readonly()
}).readonly()
export type CrashReportInput = z.infer<typeof crashReportInput>

/** Requests of one version and route that ended at one router during one interval. */
export const outcomeCountsSchema = z.object({
  service: z.string(),
  version: z.string(),
  route: z.string(),
  completed: z.number().int().nonnegative(),
  failed: z.number().int().nonnegative(),
  /** Number of requests per latency bucket. Bucket `i` holds latencies from `2 ** (i / 4)` to `2 ** ((i + 1) / 4)` ms; the last one also holds all longer latencies. */
  latencyBuckets: z.array(z.number().int().nonnegative()).max(64).readonly()
}).readonly()
export type OutcomeCounts = z.infer<typeof outcomeCountsSchema>

/** Request counts of one router, sent to the router that holds the lease of the rollout. */
export const reportOutcomesInput = z.object({
  /** `<routerId>.<incarnation>` */
  routerId: z.string(),
  /** Number of the interval at this router, so that a repeated report is counted once. */
  interval: z.number().int().nonnegative(),
  counts: z.array(outcomeCountsSchema).max(2000).readonly()
}).readonly()
export type ReportOutcomesInput = z.infer<typeof reportOutcomesInput>
