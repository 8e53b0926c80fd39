/** Messages to the control listener of a router. */
import { z } from 'zod'
import { reservationSchema } from './call.ts'
import { digestSchema, documentSchema } from './documents.ts'
import { billingRecordSchema, refusalAccountSchema } from './records.ts'

const tokens = z.number().int().nonnegative()

/** Asks the home router of a shard for reservations. */
export const reserveInput = z.object({
  shard: z.number().int().nonnegative(),
  items: z.array(z.object({ budget: z.string(), tokens }).readonly()).max(1000).readonly()
}).readonly()
export type ReserveInput = z.infer<typeof reserveInput>

/** One answer per item, in order. */
export const reserveItemOutput = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('reserved'), reservation: reservationSchema, settledSeq: z.number().int() }),
  z.object({ kind: z.literal('exhausted'), retryAfterMs: z.number().optional() }),
  z.object({ kind: z.literal('unavailable'), retryAfterMs: z.number() })
]).readonly()
export type ReserveItemOutput = z.infer<typeof reserveItemOutput>

/** Settles reservations at their real cost; repeating a settlement has no effect. */
export const settleInput = z.object({
  items: z.array(z.object({ budget: z.string(), reservation: reservationSchema, tokens }).readonly()).max(1000).readonly()
}).readonly()
export type SettleInput = z.infer<typeof settleInput>

/** Asks a home in another failure domain to give back idle tokens of these budgets. */
export const recallInput = z.object({
  shard: z.number().int().nonnegative(),
  budgets: z.array(z.string()).max(1000).readonly()
}).readonly()
export type RecallInput = z.infer<typeof recallInput>

/** Asks which reservations of a holder are flushed; -1 for an unknown holder. */
export const settledSeqInput = z.object({ holder: z.string(), shard: z.number().int().nonnegative() }).readonly()
export type SettledSeqInput = z.infer<typeof settledSeqInput>

/** Compares documents: the answer has those that are newer than the caller's digest. */
export const exchangeInput = z.object({
  digest: digestSchema,
  /** Documents that the caller believes to be news. */
  documents: z.array(documentSchema).max(200).readonly()
}).readonly()
export type ExchangeInput = z.infer<typeof exchangeInput>

export const exchangeOutput = z.object({
  /** Digest of the router that answers, so that the caller can push what is newer. */
  digest: digestSchema,
  documents: z.array(documentSchema).readonly()
}).readonly()
export type ExchangeOutput = z.infer<typeof exchangeOutput>

/** Copies refusal accounts to a peer; a higher count replaces a lower one of the same account. */
export const replicateAccountsInput = z.object({
  /** Router and incarnation that counts the accounts. */
  writer: z.string(),
  /** Accounts with a lower number are stored in the platform; copies of them can be dropped. */
  storedBelow: z.number().int().nonnegative(),
  accounts: z.array(refusalAccountSchema).max(5000).readonly()
}).readonly()
export type ReplicateAccountsInput = z.infer<typeof replicateAccountsInput>

/** Gives billing records to a router that writes them to the platform. */
export const handOverRecordsInput = z.object({
  records: z.array(billingRecordSchema).max(5000).readonly()
}).readonly()
export type HandOverRecordsInput = z.infer<typeof handOverRecordsInput>

/** Requests that were running on an endpoint when its back end or its process died. */
export const crashReportInput = z.object({
  endpointId: z.string(),
  incarnation: z.string(),
  /** Number of the crash at this endpoint, so that a report counts once. */
  crash: z.number().int().nonnegative(),
  contentHashes: z.array(z.string()).max(5000).readonly()
}).readonly()
export type CrashReportInput = z.infer<typeof crashReportInput>

/** Counts of one version and route over one interval at one router. */
export const outcomeCountsSchema = z.object({
  service: z.string(),
  version: z.string(),
  route: z.string(),
  completed: z.number().int().nonnegative(),
  failed: z.number().int().nonnegative(),
  /** Counts by latency bucket; bucket `i` holds latencies from `2 ** (i / 4)` to `2 ** ((i + 1) / 4)` ms. */
  latencyBuckets: z.array(z.number().int().nonnegative()).max(64).readonly()
}).readonly()
export type OutcomeCounts = z.infer<typeof outcomeCountsSchema>

/** Evidence of one router, sent to the holder of the rollout lease; an interval counts once. */
export const reportOutcomesInput = z.object({
  routerId: z.string(),
  /** Number of the interval at this router. */
  interval: z.number().int().nonnegative(),
  counts: z.array(outcomeCountsSchema).max(2000).readonly()
}).readonly()
export type ReportOutcomesInput = z.infer<typeof reportOutcomesInput>
