import { describe, expect, it } from 'vitest'
import type { EndpointEntry, RolloutOrder } from '../fleet.ts'
import { VersionGate, type VersionGateInput } from '../versionGate.ts'

function endpoint (id: string, version: string): EndpointEntry {
  return { id, service: 's', address: `${id}:1`, failureDomain: 'd', version, slots: 1, isDraining: false, startedAtMs: 1, sequence: 1 }
}

const [old, other, target] = [endpoint('a', 'v1'), endpoint('b', 'v1'), endpoint('c', 'v2')]

function order (state: RolloutOrder['state']): RolloutOrder {
  return { service: 's', target: 'v2', durationMs: 12_000, state, control: undefined }
}

function ids (gate: VersionGate, change: Partial<VersionGateInput>): readonly string[] {
  return gate.eligible({ service: 's', endpoints: [old, other, target], rollout: undefined, isRepeated: false, random: 0.5, nowMs: 0, ...change }).map(({ id }) => id)
}

describe('VersionGate', () => {
  it('gives the target its share of first attempts, and no repeated ones', () => {
    const gate = new VersionGate()
    const rollout = { order: order('running'), targetShare: 0.1 }
    expect(ids(gate, { rollout, random: 0.05 })).toEqual(['c'])
    expect(ids(gate, { rollout, random: 0.15 })).toEqual(['a', 'b'])
    expect(ids(gate, { rollout, random: 0.05, isRepeated: true })).toEqual(['a', 'b'])
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
    expect(ids(new VersionGate(), { rollout: { order: order('ordered'), targetShare: 0 } })).toEqual(['a', 'b'])
  })

  it('uses only the target once completed, since the old endpoints stop without draining, and never a target that was rolled back', () => {
    expect(ids(new VersionGate(), { rollout: { order: order('completed'), targetShare: 1 } })).toEqual(['c'])
    expect(ids(new VersionGate(), { rollout: { order: order('completed'), targetShare: 1 }, endpoints: [old] })).toEqual(['a'])
    expect(ids(new VersionGate(), { rollout: { order: order('rolledBack'), targetShare: 0 } })).toEqual(['a', 'b'])
    expect(ids(new VersionGate(), { rollout: { order: order('rolledBack'), targetShare: 0 }, endpoints: [target] })).toEqual([])
  })
})
