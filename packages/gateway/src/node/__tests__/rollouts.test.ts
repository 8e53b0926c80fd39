import { Err, Ok } from 'ts-results-es'
import { beforeEach, describe, expect, it } from 'vitest'
import { ManualTimers, silentLog } from '@buckthorndrift/kernel'
import { evaluationIntervalMs } from '@buckthorndrift/policy'
import type { Dialect } from '../../shared/dialect.ts'
import type { EndpointEntry, RolloutControl, RolloutOrder } from '../../shared/fleet.ts'
import type { OutcomeReportMessage, ReportReply } from '../../shared/outcomes.ts'
import type { FleetStore, StoredObject } from '../../shared/store.ts'
import { Rollouts } from '../rollouts.ts'

const routers = 4
const otherControl: RolloutControl = { holder: 'other.1', address: 'other:1', fencingToken: 1, startedAtMs: 0 }

function endpoint (id: string, version: string): EndpointEntry {
  return { id, service: 's', address: `${id}:1`, failureDomain: 'd', version, slots: 6, isDraining: false, startedAtMs: 1, sequence: 1, coldRemainingMs: 0 }
}

const [old, target, next] = [endpoint('a', 'v1'), endpoint('b', 'v2'), endpoint('c', 'v3')]

/** A router whose orders, store and controller the test plays. */
class Router {
  readonly timers = new ManualTimers()
  readonly reports: OutcomeReportMessage[] = []
  readonly written: string[] = []
  reply: ReportReply = { kind: 'accepted', stage: { kind: 'trial' } }
  isStoreAway = false
  order: RolloutOrder = { service: 's', target: 'v2', durationMs: 20_000, state: 'running', control: otherControl }
  #revision = 1
  readonly rollouts = new Rollouts({
    store: {
      era: () => 1,
      replaceStatus: (_kind: string, _name: string, status: { readonly state: RolloutOrder['state'], readonly control: RolloutControl | undefined }) => this.#write(status),
      read: () => Promise.resolve(this.isStoreAway ? Err({ kind: 'unavailable' }) : Ok(this.#object()))
    } as unknown as FleetStore,
    dialect: { decodeRollout: ({ value }: StoredObject) => value, encodeRolloutStatus: (_target: string, state: string, control: unknown) => ({ state, control }) } as unknown as Dialect,
    timers: this.timers,
    log: silentLog,
    holder: 'me.1',
    address: 'me:1',
    client: { report: (_address, message) => { this.reports.push(message); return Promise.resolve(this.reply) }, close: () => Promise.resolve() },
    trialShare: 0.1,
    trialSlack: 50,
    random: () => 0.01,
    routerCount: () => routers,
    refreshRouters: () => {},
    hasEndpoint: () => true,
    runningAt: () => 0
  })

  /** Applies the order as the store has it. */
  apply (change: Partial<RolloutOrder> = {}): void {
    this.order = { ...this.order, ...change }
    this.#revision++
    this.rollouts.applyOrder(this.#object())
  }

  async advance (intervals: number): Promise<void> {
    for (let interval = 0; interval < intervals; interval++) {
      this.timers.advance(evaluationIntervalMs)
      for (let step = 0; step < 10; step++) await Promise.resolve()
    }
  }

  /** Plays intervals in which each request at the target fails. */
  async failAtTarget (intervals: number, entry = target): Promise<void> {
    for (let interval = 0; interval < intervals; interval++) {
      for (let request = 0; request < 10; request++) this.rollouts.record(old, 'r', { kind: 'completed' })
      for (let request = 0; request < 5; request++) this.rollouts.record(entry, 'r', { kind: 'failed' })
      await this.advance(1)
    }
  }

  chosen (endpoints: readonly EndpointEntry[]): readonly string[] {
    return this.rollouts.eligible({ service: 's', endpoints, hasEngine: false, isRepeated: false }).map(({ id }) => id)
  }

  #object (): StoredObject {
    return { name: 's', revision: this.#revision, value: this.order, status: null }
  }

  #write ({ state, control }: { readonly state: RolloutOrder['state'], readonly control: RolloutControl | undefined }) {
    this.written.push(state)
    if (this.isStoreAway) return Promise.resolve(Err({ kind: 'unavailable', mayHaveApplied: false, detail: 'away' }))
    this.order = { ...this.order, state, control }
    this.#revision++
    return Promise.resolve(Ok(this.#object()))
  }
}

describe('Rollouts at one router', () => {
  let router: Router

  beforeEach(() => {
    router = new Router()
    router.apply()
  })

  // Guards against a router that keeps for itself that a version is bad, because its one write was lost.
  it('tells the controller of a version that it stopped, and stores the rollback until the store has it', async () => {
    router.isStoreAway = true
    await router.failAtTarget(6)
    expect(router.reports.at(-1)?.isStopped).toBe(true)
    expect(router.chosen([old, target])).toEqual(['a'])
    await router.advance(20)
    expect(router.written.length).toBeGreaterThan(3)
    router.isStoreAway = false
    await router.advance(8)
    expect(router.order.state).toBe('rolledBack')
  })

  it('stops a version when the controller says that it is stopped, also before the store does', async () => {
    expect(router.chosen([old, target])).toEqual(['b'])
    router.reply = { kind: 'stopped' }
    await router.advance(4)
    expect(router.chosen([old, target])).toEqual(['a'])
    expect(router.chosen([target])).toEqual([])
  })

  it('stops a version of which another router reports that it has stopped it', () => {
    router.apply({ control: { ...otherControl, holder: 'me.1' } })
    const report = { service: 's', target: 'v2', routerId: 'third.1', interval: 1, counts: [] }
    expect(router.rollouts.receiveReport({ ...report, isStopped: false })).toEqual({ kind: 'accepted', stage: { kind: 'trial' } })
    expect(router.rollouts.receiveReport({ ...report, isStopped: true })).toEqual({ kind: 'stopped' })
    expect(router.chosen([old, target])).toEqual(['a'])
  })

  // Guards against a router that refuses all requests of a service, because the endpoints of the old version are gone.
  it('uses a version that was completed although this router had stopped it', async () => {
    router.isStoreAway = true
    await router.failAtTarget(6)
    expect(router.chosen([target])).toEqual([])
    router.apply({ state: 'completed' })
    expect(router.chosen([target])).toEqual(['b'])
  })

  it('does not count evidence against one version towards the next', async () => {
    await router.failAtTarget(3)
    router.apply({ target: 'v3' })
    await router.failAtTarget(2, next)
    expect(router.reports.at(-1)?.isStopped).toBe(false)
  })

  it('sends counts again that the controller did not accept', async () => {
    router.reply = { kind: 'rejected' }
    await router.failAtTarget(2)
    router.reply = { kind: 'accepted', stage: { kind: 'trial' } }
    await router.failAtTarget(1)
    expect(router.reports.at(-1)?.counts.find(({ version }) => version === 'target')?.failed).toBe(15)
  })

  it('gives a new controller all counts since the order', async () => {
    await router.failAtTarget(2)
    router.apply({ control: { ...otherControl, holder: 'third.1', fencingToken: 2 } })
    await router.advance(1)
    expect(router.reports.at(-1)?.counts.find(({ version }) => version === 'target')?.failed).toBe(10)
  })

  // Guards against a share that goes on rising at a router that no longer hears what the others see.
  it('sends a version no more than a trial allows, once the controller is out of reach for two seconds', async () => {
    router.reply = { kind: 'accepted', stage: { kind: 'ramp', progressMs: 20_000, suspiciousMs: 0 } }
    await router.advance(8)
    expect(router.chosen([old, target])).toEqual(['b'])
    router.reply = { kind: 'rejected' }
    router.isStoreAway = true
    for (let request = 0; request < 1000; request++) router.rollouts.countPlacement(target)
    await router.advance(8)
    expect(router.chosen([old, target])).toEqual(['a'])
  })
})
