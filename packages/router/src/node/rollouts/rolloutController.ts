/** Evaluates rollouts and moves traffic between versions, on the router that holds the rollout lease. */
import { z } from 'zod'
import type { Log, TimerService } from '@buckthorndrift/kernel'
import type { Documents, Lease, ObjectStore, StoredObject } from '@buckthorndrift/coordination'
import {
  addInterval, decideRollout, newEvidence, poolCounts, PooledIntervals, findBaselineVersion, startRollout, type FleetConfig,
  type ObservedCounts, type RolloutEvidence, type RolloutState, type ServiceConfig
} from '@buckthorndrift/policy'

export const rolloutPrefix = 'rollouts/'

const stateSchema = z.object({
  service: z.string(),
  baseline: z.string(),
  target: z.string(),
  targetShare: z.number().min(0).max(1),
  phase: z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('moving') }),
    z.object({ kind: z.literal('done') }),
    z.object({ kind: z.literal('rolledBack'), reason: z.string() })
  ]),
  startedAtMs: z.number(),
  stepStartedAtMs: z.number(),
  moveByMs: z.number().optional(),
  fencingToken: z.number(),
  holder: z.string()
})

/** Parses the rollout state of a document; `undefined` if the document is missing or malformed. */
export function parseRolloutState (document: StoredObject | undefined): RolloutState | undefined {
  const parsed = stateSchema.safeParse(document?.value)
  return parsed.success ? { ...parsed.data, moveByMs: parsed.data.moveByMs } : undefined
}

export interface RolloutControllerOptions {
  readonly routerId: string
  readonly lease: Lease
  readonly documents: Documents
  readonly store: ObjectStore
  readonly timers: TimerService
  readonly log: Log
  fleet (): FleetConfig | undefined
}

export class RolloutController {
  readonly #options: RolloutControllerOptions
  readonly #evidence = new Map<string, RolloutEvidence>()
  #pooled = new PooledIntervals()
  /** Fencing token of the lease under which the evidence was collected. */
  #evidenceFencingToken: number | undefined

  constructor (options: RolloutControllerOptions) {
    this.#options = options
  }

  /** Adds the counts that one router, possibly this one, reports for an interval. The report is dropped if this router does not hold the rollout lease. */
  addReport (routerId: string, interval: number, counts: readonly ObservedCounts[]): void {
    if (this.#options.lease.fencingToken() === undefined) return
    this.#pooled.receive({ routerId, interval, counts })
  }

  /** Ends an interval: evaluates every service and stores the states that changed. */
  async evaluateInterval (): Promise<void> {
    const fleet = this.#options.fleet()
    const fencingToken = this.#options.lease.fencingToken()
    if (fencingToken !== this.#evidenceFencingToken) this.#resetEvidence(fencingToken)
    if (fleet === undefined || fencingToken === undefined) return
    const counts = this.#pooled.take()
    for (const service of Object.values(fleet.services)) {
      if (service.versions.length > 1) await this.#evaluateService(fleet, service, counts, fencingToken)
    }
  }

  /** Discards evidence from an earlier term of the lease, because another router may have moved traffic since. */
  #resetEvidence (fencingToken: number | undefined): void {
    this.#evidenceFencingToken = fencingToken
    this.#evidence.clear()
    this.#pooled = new PooledIntervals()
  }

  async #evaluateService (fleet: FleetConfig, service: ServiceConfig, counts: readonly ObservedCounts[], fencingToken: number): Promise<void> {
    const { documents, timers } = this.#options
    const document = documents.get(rolloutPrefix + service.name)
    const current = parseRolloutState(document)
    if (current !== undefined && current.fencingToken > fencingToken) return
    const next = this.#nextState(fleet, service, current, counts, timers.nowMs(), fencingToken)
    if (next === undefined || next === current) return
    await this.#storeState(document, current, next)
  }

  #nextState (fleet: FleetConfig, service: ServiceConfig, current: RolloutState | undefined, counts: readonly ObservedCounts[], nowMs: number, fencingToken: number): RolloutState | undefined {
    const lease = { fencingToken, holder: this.#options.routerId }
    const target = service.versions.at(-1)!
    if (current?.target !== target.name) {
      if (this.#isDependencyMoving(fleet, service)) return undefined
      this.#evidence.set(service.name, newEvidence(target.name))
      return startRollout(service.name, findBaselineVersion(service.versions, current), target.name, nowMs, target.moveByMs, lease)
    }
    const previous = this.#evidence.get(service.name) ?? newEvidence(target.name)
    const evidence = addInterval(previous, poolCounts(counts, service.name, current.baseline, current.target))
    this.#evidence.set(service.name, evidence)
    const hasCurrentToken = current.fencingToken === fencingToken
    const decided = decideRollout(current, evidence, nowMs)
    return decided === current && hasCurrentToken ? current : { ...decided, ...lease }
  }

  /** Whether a service that `service` depends on is in a rollout. The rollout of `service` starts only after that rollout has ended. */
  #isDependencyMoving (fleet: FleetConfig, service: ServiceConfig): boolean {
    return service.dependsOn.some(name => {
      const state = parseRolloutState(this.#options.documents.get(rolloutPrefix + name))
      const isLatestTarget = fleet.services[name]?.versions.at(-1)?.name === state?.target
      return isLatestTarget && state?.phase.kind === 'moving'
    })
  }

  async #storeState (document: StoredObject | undefined, current: RolloutState | undefined, next: RolloutState): Promise<void> {
    const { store, documents, log } = this.#options
    const name = rolloutPrefix + next.service
    const written = await store.write(name, next, document?.version ?? 0)
    if (written.isErr()) {
      log.event('rolloutWriteFailed', { service: next.service, cause: written.error.kind })
      await documents.refresh(name)
      return
    }
    documents.learn({ name, version: written.value, value: next })
    if (next.targetShare !== current?.targetShare) {
      const evidence = this.#evidence.get(next.service) ?? newEvidence(next.target)
      this.#evidence.set(next.service, { ...evidence, requestsAtStep: 0 })
    }
    this.#logChange(current, next)
  }

  #logChange (current: RolloutState | undefined, next: RolloutState): void {
    const { service, target, baseline, targetShare, phase } = next
    const context = { service, target, baseline, targetShare }
    if (current?.target !== target) return this.#options.log.event('rolloutStarted', context)
    if (current.targetShare === targetShare && current.phase.kind === phase.kind) return
    switch (phase.kind) {
      case 'moving': return this.#options.log.event('rolloutAdvanced', context)
      case 'done': return this.#options.log.event('rolloutFinished', context)
      case 'rolledBack': return this.#options.log.event('rolloutRolledBack', { ...context, reason: phase.reason })
    }
  }
}
