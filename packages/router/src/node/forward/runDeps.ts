/** Dependencies of a request run. */
import type { Log, Metrics, TimerService, Tracing } from '@buckthorndrift/kernel'
import type { Failure } from '@buckthorndrift/policy'
import type { Claim } from '@buckthorndrift/protocol'
import type { CallerSettings } from '../../shared/callerSettings.ts'
import type { BudgetService, VersionService } from '../../shared/services.ts'
import type { AttemptDeps } from './attempt.ts'
import type { DeferredSettler } from './deferredSettler.ts'
import type { CrashTracker } from './crashTracker.ts'
import type { EndpointSelector } from './endpointSelector.ts'
import type { RetryTracker } from './retryTracker.ts'
import type { SettlerDeps } from './settler.ts'

/** `held`: an earlier request with the same idempotency key holds the claim, and its response can be attached to. */
export type ClaimResult =
  | { readonly kind: 'granted' }
  | { readonly kind: 'held', readonly claim: Claim }
  | { readonly kind: 'failed', readonly failure: Failure }

export interface ClaimService {
  /** Claims an idempotency key for a request. `replaces` is the request id of an earlier claim that certainly never runs, or whose endpoint process is lost. */
  claim (service: string, claim: Claim, replaces?: string): Promise<ClaimResult>
}

export interface RunDeps {
  readonly attemptDeps: AttemptDeps
  readonly endpointSelector: EndpointSelector
  readonly budget: BudgetService
  readonly deferredSettler: DeferredSettler
  readonly claims: ClaimService
  readonly crashTracker: CrashTracker
  readonly log: Log
  readonly metrics: Metrics
  readonly nextRequestId: () => string
  readonly random: () => number
  readonly retryTracker: RetryTracker
  readonly settings: CallerSettings
  readonly settlerDeps: SettlerDeps
  readonly timers: TimerService
  readonly tracing: Tracing
  readonly versions: VersionService
  /** Base URL of this router's control listener. */
  readonly routerUrl: () => string
}
