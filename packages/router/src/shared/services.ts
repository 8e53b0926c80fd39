/** Services that the plugins of a router provide to each other. */
import type { Result } from 'ts-results-es'
import { serviceKey } from '@buckthorndrift/kernel'
import type { DirectoryKey, Failure, FailureReason, FleetConfig, VerdictKind } from '@buckthorndrift/policy'
import type { BillingRecord, Reservation, RouterControlHandlers } from '@buckthorndrift/protocol'

/** A reservation that a holder has granted. */
export interface HeldReservation {
  readonly reservation: Reservation
  /** Sequence number up to which all reservations of the holder are settled and stored on the platform. Endpoints may drop their entries for them. */
  readonly settledSeq: number
}

/** Reserves and settles tokens for the caller path. The service chooses the router at which it reserves; callers name only the budget. */
export interface BudgetService {
  /** Reserves `tokens` of a budget; tries no further router after `timeoutMs`. Fails with `budgetExhausted` or `budgetUnavailable`, both `notRun`. */
  reserve (budget: string, tokens: number, timeoutMs: number): Promise<Result<HeldReservation, Failure>>
  /** Settles a reservation at its real cost, which is at most the reserved tokens; a repeat has no effect. */
  settle (budget: string, reservation: Reservation, tokens: number): void
}
export const budgetServiceKey = serviceKey<BudgetService>('budget')

/** Cause of a refusal, for its account; `''` stands for what was not known when the request was refused. */
export interface RefusalDetails {
  readonly organisation: string
  readonly budget: string
  readonly service: string
  readonly reason: FailureReason
  readonly verdict: VerdictKind
}

export interface RecordService {
  /** False while unwritten records have reached their limit; new requests are then refused. */
  canAdmit (): boolean
  /** Keeps a billing record until the platform has stored it. */
  bill (record: BillingRecord): void
  /** Records a refusal. Resolves with its id once a peer router has a copy of the account, or none could be reached. */
  recordRefusal (draft: RefusalDetails): Promise<string>
}
export const recordServiceKey = serviceKey<RecordService>('records')

/** Current configuration. */
export interface ConfigService {
  /** `undefined` until the first valid fleet text arrives. */
  fleet (): FleetConfig | undefined
  /** Organisation and budget of a key; `undefined` for an unknown key. */
  findKey (apiKey: string): DirectoryKey | undefined
}
export const configServiceKey = serviceKey<ConfigService>('config')

/** Chooses the version for each request and observes the outcome. */
export interface VersionService {
  /** Version for a request; `undefined` if the service has none. */
  chooseVersion (service: string, route: string): string | undefined
  /** Records an outcome. `durationMs` is the time to the head of the response for models, and to its end for plain calls. */
  recordOutcome (service: string, version: string, route: string, isSuccess: boolean, durationMs: number): void
}
export const versionServiceKey = serviceKey<VersionService>('versions')

/** Registry of control handlers; each plugin registers its own in `setup`. */
export interface ControlRegistry {
  /** Plugins may share a group of handlers; throws if a handler is already registered. */
  register<Group extends keyof RouterControlHandlers> (group: Group, handlers: Partial<RouterControlHandlers[Group]>): void
}
export const controlRegistryKey = serviceKey<ControlRegistry>('control')
