import { describe, expect, it } from 'vitest'
import type { EndpointEntry, RolloutOrder } from '../fleet.ts'
import { VersionGate, type GatedRollout, type VersionGateInput } from '../versionGate.ts'

function endpoint (id: string, version: string): EndpointEntry {
  return { id, service: 's', address: `${id}:1`, failureDomain: 'd', version, slots: 1, isDraining: false, startedAtMs: 1, sequence: 1, coldRemainingMs: 0 }
}

const [old, other, target] = [endpoint('a', 'v1'), endpoint('b', 'v1'), endpoint('c', 'v2')]

function order (state: RolloutOrder['state']): RolloutOrder {
  return { service: 's', target: 'v2', durationMs: 12_000, state, control: undefined }
}

function gated (state: RolloutOrder['state'], isChosen = false, isStopped = false): GatedRollout {
  return { order: order(state), isStopped, chooseTargets: ofTarget => isChosen ? ofTarget : [] }
}

function ids (gate: VersionGate, change: Partial<VersionGateInput>): readonly string[] {
  return gate.eligible({ service: 's', endpoints: [old, other, target], rollout: undefined, isRepeated: false, nowMs: 0, ...change }).map(({ id }) => id)
}

describe('VersionGate', () => {
  it('gives the target the first attempts that are chosen for it, and no repeated ones', () => {
    const gate = new VersionGate()
    expect(ids(gate, { rollout: gated('running', true) })).toEqual(['c'])
    expect(ids(gate, { rollout: gated('running') })).toEqual(['a', 'b'])
    expect(ids(gate, { rollout: gated('running', true), isRepeated: true })).toEqual(['a', 'b'])
  })

  // Guards against a router that knows that a version is bad, and uses it because no other endpoint is ready.
  it('never gives a stopped target a request, also when no other endpoint is ready', () => {
    const gate = new VersionGate()
    expect(ids(gate, { rollout: gated('running', true, true) })).toEqual(['a', 'b'])
    expect(ids(gate, { rollout: gated('running', true, true), endpoints: [target] })).toEqual([])
    expect(ids(gate, { rollout: gated('running', true), endpoints: [target] })).toEqual(['c'])
  })

  // Guards against a bad version that counts as an unknown one, and as established later, once the next order of its service names another target.
  it('keeps a version that was rolled back out while the next version is ordered, and after', () => {
    const gate = new VersionGate()
    const next = endpoint('d', 'v3')
    const orderOfNext = { ...order('running'), target: 'v3' }
    expect(ids(gate, { rollout: gated('rolledBack') })).toEqual(['a', 'b'])
    for (const nowMs of [100, 2500, 60_000]) {
      const rollout = { order: orderOfNext, isStopped: false, chooseTargets: () => [] }
      expect(ids(gate, { rollout, endpoints: [old, target, next], nowMs })).toEqual(['a'])
    }
    const completed = { order: { ...orderOfNext, state: 'completed' as const }, isStopped: false, chooseTargets: () => [] }
    expect(ids(gate, { rollout: completed, endpoints: [old, target] })).toEqual(['a'])
    expect(ids(gate, { rollout: gated('completed') })).toEqual(['c'])
  })

  // Guards against a router that has started before it read the order, and goes on using the target after the rollback.
  it('takes a version out again that it found at the start, once an order names it', () => {
    const gate = new VersionGate()
    expect(ids(gate, {})).toEqual(['a', 'b', 'c'])
    expect(ids(gate, { rollout: gated('running') })).toEqual(['a', 'b'])
    expect(ids(gate, { rollout: gated('rolledBack') })).toEqual(['a', 'b'])
    expect(ids(gate, { nowMs: 60_000 })).toEqual(['a', 'b'])
  })

  it('holds an unknown version back until an order had time to arrive, because it may be a bad one', () => {
    const gate = new VersionGate()
    expect(ids(gate, { endpoints: [old, other] })).toEqual(['a', 'b'])
    expect(ids(gate, { nowMs: 100 })).toEqual(['a', 'b'])
    expect(ids(gate, { nowMs: 1500 })).toEqual(['a', 'b'])
    expect(ids(gate, { nowMs: 2200 })).toEqual(['a', 'b', 'c'])
  })

  it('takes all versions that it finds at the start as established, but not the target of an order', () => {
    expect(ids(new VersionGate(), {})).toEqual(['a', 'b', 'c'])
    expect(ids(new VersionGate(), { rollout: gated('ordered') })).toEqual(['a', 'b'])
  })

  it('uses only the target once completed, since the old endpoints stop without draining, and never a target that was rolled back', () => {
    expect(ids(new VersionGate(), { rollout: gated('completed') })).toEqual(['c'])
    expect(ids(new VersionGate(), { rollout: gated('completed'), endpoints: [old] })).toEqual(['a'])
    expect(ids(new VersionGate(), { rollout: gated('rolledBack') })).toEqual(['a', 'b'])
    expect(ids(new VersionGate(), { rollout: gated('rolledBack'), endpoints: [target] })).toEqual([])
  })
})
