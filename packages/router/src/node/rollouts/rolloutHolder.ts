/** Duty of the router that holds the rollout lease: judges versions and moves traffic. */
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

/** State in a document; `undefined` when there is none or it cannot be read. */
export function rolloutStateOf (document: StoredObject | undefined): RolloutState | undefined {
  const parsed = stateSchema.safeParse(document?.value)
  return parsed.success ? { ...parsed.data, moveByMs: parsed.data.moveByMs } : undefined
}

export interface RolloutHolderOptions {
  readonly routerId: string
  readonly lease: Lease
  readonly documents: Documents
  readonly store: ObjectStore
  readonly timers: TimerService
  readonly log: Log
  fleet (): FleetConfig | undefined
}

export class RolloutHolder {
  readonly #options: RolloutHolderOptions
  readonly #evidence = new Map<string, RolloutEvidence>()
  #pooled = new PooledIntervals()
  #heldToken: number | undefined

  constructor (options: RolloutHolderOptions) {
    this.#options = options
  }

  /** Takes counts of one router, this one included. */
  receive (routerId: string, interval: number, counts: readonly ObservedCounts[]): void {
    if (this.#options.lease.fencingToken() === undefined) return
    this.#pooled.receive({ routerId, interval, counts })
  }

  /** Ends an interval: judges every service and stores what changed. */
  async step (): Promise<void> {
    const fleet = this.#options.fleet()
    const fencingToken = this.#options.lease.fencingToken()
    if (fencingToken !== this.#heldToken) this.#startOver(fencingToken)
    if (fleet === undefined || fencingToken === undefined) return
    const counts = this.#pooled.take()
    for (const service of Object.values(fleet.services)) {
      if (service.versions.length > 1) await this.#stepService(fleet, service, counts, fencingToken)
    }
  }

  /** Evidence from before another holder's time is worthless. */
  #startOver (fencingToken: number | undefined): void {
    this.#heldToken = fencingToken
    this.#evidence.clear()
    this.#pooled = new PooledIntervals()
  }

  async #stepService (fleet: FleetConfig, service: ServiceConfig, counts: readonly ObservedCounts[], fencingToken: number): Promise<void> {
    const { documents, timers } = this.#options
    const document = documents.get(rolloutPrefix + service.name)
    const present = rolloutStateOf(document)
    if (present !== undefined && present.fencingToken > fencingToken) return
    const next = this.#nextState(fleet, service, present, counts, timers.nowMs(), fencingToken)
    if (next === undefined || next === present) return
    await this.#store(document, present, next)
  }

  #nextState (fleet: FleetConfig, service: ServiceConfig, present: RolloutState | undefined, counts: readonly ObservedCounts[], nowMs: number, fencingToken: number): RolloutState | undefined {
    const lease = { fencingToken, holder: this.#options.routerId }
    const target = service.versions.at(-1)!
    if (present?.target !== target.name) {
      if (this.#isDependencyMoving(fleet, service)) return undefined
      this.#evidence.set(service.name, newEvidence(target.name))
      return startRollout(service.name, findBaselineVersion(service.versions, present), target.name, nowMs, target.moveByMs, lease)
    }
    const known = this.#evidence.get(service.name) ?? newEvidence(target.name)
    const evidence = addInterval(known, poolCounts(counts, service.name, present.baseline, present.target))
    this.#evidence.set(service.name, evidence)
    const isMine = present.fencingToken === fencingToken
    const decided = decideRollout(present, evidence, nowMs)
    return decided === present && isMine ? present : { ...decided, ...lease }
  }

  #isDependencyMoving (fleet: FleetConfig, service: ServiceConfig): boolean {
    return service.dependsOn.some(name => {
      const state = rolloutStateOf(this.#options.documents.get(rolloutPrefix + name))
      const isListed = fleet.services[name]?.versions.at(-1)?.name === state?.target
      return isListed && state?.phase.kind === 'moving'
    })
  }

  async #store (document: StoredObject | undefined, present: RolloutState | undefined, next: RolloutState): Promise<void> {
    const { store, documents, log } = this.#options
    const name = rolloutPrefix + next.service
    const written = await store.write(name, next, document?.version ?? 0)
    if (written.isErr()) {
      log.event('rolloutWriteFailed', { service: next.service, cause: written.error.kind })
      await documents.refresh(name)
      return
    }
    documents.learn({ name, version: written.value, value: next })
    if (next.targetShare !== present?.targetShare) {
      const evidence = this.#evidence.get(next.service) ?? newEvidence(next.target)
      this.#evidence.set(next.service, { ...evidence, requestsAtStep: 0 })
    }
    this.#report(present, next)
  }

  #report (present: RolloutState | undefined, next: RolloutState): void {
    const { service, target, baseline, targetShare, phase } = next
    const context = { service, target, baseline, targetShare }
    if (present?.target !== target) return this.#options.log.event('rolloutStarted', context)
    if (present.targetShare === targetShare && present.phase.kind === phase.kind) return
    switch (phase.kind) {
      case 'moving': return this.#options.log.event('rolloutAdvanced', context)
      case 'done': return this.#options.log.event('rolloutFinished', context)
      case 'rolledBack': return this.#options.log.event('rolloutRolledBack', { ...context, reason: phase.reason })
    }
  }
}
