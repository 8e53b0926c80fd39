/** Services that the plugins of a router offer to each other. */
import type { Result } from 'ts-results-es'
import { serviceKey } from '@buckthorndrift/kernel'
import type { DirectoryKey, Failure, FailureReason, FleetConfig, VerdictKind } from '@buckthorndrift/policy'
import type { BillingRecord, Reservation, RouterControlHandlers } from '@buckthorndrift/protocol'

export interface HeldReservation {
  readonly reservation: Reservation
  readonly settledSeq: number
}

/** Reservations for the caller path; finds the home router itself. */
export interface BudgetService {
  /** Reserves `tokens` of a budget; fails with `budgetExhausted` or `budgetUnavailable`, both `notRun`. */
  reserve (budget: string, tokens: number, deadlineMs: number): Promise<Result<HeldReservation, Failure>>
  /** Settles at the real cost, at most the reserved tokens; repeats have no effect. */
  settle (budget: string, reservation: Reservation, tokens: number): void
}
export const budgetServiceKey = serviceKey<BudgetService>('budget')

/** What a refusal account needs to know; `''` stands for what was not known yet. */
export interface RefusalDetails {
  readonly organisation: string
  readonly budget: string
  readonly service: string
  readonly reason: FailureReason
  readonly verdict: VerdictKind
}

export interface RecordService {
  /** False while the bound on waiting records is reached; new requests are then refused. */
  canAdmit (): boolean
  /** Keeps a billing record until the platform has it. */
  bill (record: BillingRecord): void
  /** Counts a refusal; resolves with its id once a peer router has the account too, or cannot be reached. */
  recordRefusal (draft: RefusalDetails): Promise<string>
}
export const recordServiceKey = serviceKey<RecordService>('records')

/** Present configuration. */
export interface ConfigService {
  /** `undefined` until the first fleet text is known. */
  fleet (): FleetConfig | undefined
  /** Who a key belongs to; `undefined` for an unknown key. */
  findKey (apiKey: string): DirectoryKey | undefined
}
export const configServiceKey = serviceKey<ConfigService>('config')

/** Chooses the version for a request and takes the evidence of how it went. */
export interface VersionService {
  chooseVersion (service: string, route: string): string | undefined
  /** `durationMs`: time to the first token for models, to the whole answer for plain calls. */
  recordOutcome (service: string, version: string, route: string, isSuccess: boolean, durationMs: number): void
}
export const versionServiceKey = serviceKey<VersionService>('versions')

/** Handlers of the control listener; each plugin sets its own in `setup`. */
export interface ControlRegistry {
  /** Two plugins may share a part; throws when a handler is registered already. */
  register<Part extends keyof RouterControlHandlers> (part: Part, handlers: Partial<RouterControlHandlers[Part]>): void
}
export const controlRegistryKey = serviceKey<ControlRegistry>('control')
