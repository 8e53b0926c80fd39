/** What the run of one request needs from the router. */
import type { Log, Metrics, TimerService, Tracing } from '@buckthorndrift/kernel'
import type { Failure } from '@buckthorndrift/policy'
import type { Claim } from '@buckthorndrift/protocol'
import type { CallerSettings } from '../../shared/callerSettings.ts'
import type { BudgetService, VersionService } from '../../shared/services.ts'
import type { AttemptDeps } from './attempt.ts'
import type { Chaser } from './deferredSettler.ts'
import type { CrashWatch } from './crashTracker.ts'
import type { EndpointBook } from './endpointBook.ts'
import type { RetryLedger } from './retryLedger.ts'
import type { SettlerDeps } from './settler.ts'

/** `held`: an earlier request with the same key has an answer to attach to. */
export type ClaimAnswer =
  | { readonly kind: 'granted' }
  | { readonly kind: 'held', readonly claim: Claim }
  | { readonly kind: 'failed', readonly failure: Failure }

export interface ClaimService {
  /** Claims a key for a request; `replaces` is the id of a claim that certainly never runs, or whose runner is lost. */
  claim (service: string, claim: Claim, replaces?: string): Promise<ClaimAnswer>
}

export interface RunDeps {
  readonly attempts: AttemptDeps
  readonly book: EndpointBook
  readonly budget: BudgetService
  readonly chaser: Chaser
  readonly claims: ClaimService
  readonly crashes: CrashWatch
  readonly log: Log
  readonly metrics: Metrics
  readonly nextRequestId: () => string
  readonly random: () => number
  readonly retries: RetryLedger
  readonly settings: CallerSettings
  readonly settler: SettlerDeps
  readonly timers: TimerService
  readonly tracing: Tracing
  readonly versions: VersionService
  /** Base URL of this router's control listener. */
  readonly routerUrl: () => string
}
