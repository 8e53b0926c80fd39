import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { findPreferredOwner, ClaimNode, ClaimShard, claimShardOf, createClaimLayout, locateClaimShard, type ClaimCopy, type ClaimProcess, type StoredLayout } from '../index.ts'
import { ClaimSimulation } from './claimSimulation.ts'

const ids = fc.constantFrom('e0', 'e1', 'e2', 'e3')
const keys = ['0', '1', '2', '3'].map(digit => digit.repeat(64))
const atMs = fc.integer({ min: 0, max: 12_000 })
const durationMs = fc.integer({ min: 50, max: 3000 })
const fault = fc.oneof(
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('request' as const), atMs, key: fc.constantFrom(...keys) }) },
  fc.record({ kind: fc.constant('crash' as const), atMs, id: ids }),
  fc.record({ kind: fc.constant('pause' as const), atMs, id: ids, durationMs }),
  fc.record({ kind: fc.constant('cut' as const), atMs, id: ids, durationMs }),
  fc.record({ kind: fc.constant('platformDown' as const), atMs, durationMs })
)
const [self, peer] = ['e0', 'e1'].map(id => ({ id, incarnation: '1', url: id, vm: id, failureDomain: id })) as [ClaimProcess, ClaimProcess]
const shardOptions = { service: 's', shard: 0, retentionMs: 1000, limit: 100, nowMs: () => 0 }
/** `CLAIM_RUNS` sets the number of random simulations, for long runs. `CLAIM_SEED` sets their seed. */
const runs = Number(process.env['CLAIM_RUNS'] ?? 150)
const seeds = process.env['CLAIM_SEED'] === undefined ? {} : { seed: Number(process.env['CLAIM_SEED']) }

describe('claims', () => {
  it('never let a non-idempotent request run twice, and answer notRun only for keys that never ran', async () => {
    const totals = { granted: 0, notRun: 0, mayHaveRun: 0, answered: 0, takenOver: 0, lost: 0 }
    const shares = fc.constantFrom(0, 0.02, 0.15)
    await fc.assert(fc.asyncProperty(fc.array(fault, { minLength: 20, maxLength: 80 }), fc.integer(), shares, shares, async (faults, seed, lossShare, duplicationShare) => {
      const simulation = new ClaimSimulation({ seed, lossShare, duplicationShare, shards: 2, retentionMs: 100_000 })
      for (const one of faults) {
        simulation.at(500 + one.atMs, () => {
          switch (one.kind) {
            case 'request': simulation.request(one.key).catch(error => simulation.violations.push(String(error))); break
            case 'crash': simulation.crash(one.id); break
            case 'pause': simulation.pause(one.id, one.durationMs); break
            case 'cut': simulation.disconnect(one.id, one.durationMs); break
            case 'platformDown': simulation.failPlatform(one.durationMs); break
          }
        })
      }
      await simulation.advance(25_000)
      for (const [name, count] of Object.entries(simulation.counts)) totals[name as keyof typeof totals] += count
      expect(simulation.violations).toEqual([])
    }), { numRuns: runs, endOnFailure: true, ...seeds })
    // Every outcome must occur at least once; otherwise the property would hold trivially.
    for (const [name, count] of Object.entries(totals)) expect(count, name).toBeGreaterThan(0)
  })

  it('keep the latest claim on a key at the witness when a copy of an earlier claim arrives late', async () => {
    const sent: ClaimCopy[] = []
    let isAnswering = true
    const witness = new ClaimShard({ ...shardOptions, self: peer, send: async () => undefined })
    const owner = new ClaimShard({
      ...shardOptions,
      self,
      send: async (_witness, copy) => {
        sent.push(copy)
        return isAnswering ? witness.replicate(copy) : undefined
      }
    })
    const ask = (requestId: string, replaces?: string) =>
      owner.claim({ service: 's', shard: 0, epoch: 1, claim: { keyHash: keys[0]!, contentHash: 'c', requestId, runner: self, idempotent: false }, replaces })
    owner.applyLayout({ epoch: 1, owner: self, witness: peer, unknownForMs: 0 })
    await ask('r.1.1')
    isAnswering = false
    owner.applyLayout({ epoch: 2, owner: self, witness: peer, unknownForMs: 0 })
    await new Promise(resolve => { setImmediate(resolve) })
    isAnswering = true
    const late = sent.at(-1)!
    expect(await ask('r.1.2', 'r.1.1')).toEqual({ kind: 'granted' })
    witness.replicate(late)
    expect(witness.find(keys[0]!)?.requestId).toBe('r.1.2')
  })

  it('are known in full only to a process that has every claim of the previous epoch', async () => {
    const claim = { keyHash: keys[0]!, contentHash: 'c', requestId: 'r.1.1', runner: self, idempotent: false }
    const copy = { service: 's', shard: 0, epoch: 1, claims: [claim], isComplete: false, unknownForMs: 0 }
    const shard = new ClaimShard({ ...shardOptions, self, send: async () => undefined })
    expect(shard.replicate(copy), 'partial copy under an unknown epoch').toEqual({ isAccepted: false, epoch: 0 })
    shard.applyLayout({ epoch: 1, owner: peer, witness: self, unknownForMs: 0 })
    expect(shard.replicate(copy), 'partial copy before a full copy').toEqual({ isAccepted: false, epoch: 1 })
    expect(shard.hasAllClaims).toBe(false)
    shard.replicate({ ...copy, isComplete: true })
    shard.applyLayout({ epoch: 3, owner: self, unknownForMs: 0 })
    expect(await shard.claim({ service: 's', shard: 0, epoch: 3, claim }), 'another process may have granted keys under epoch 2').toEqual({ kind: 'unknown' })
  })

  it('are not taken over by a witness without a full copy', async () => {
    const stored = { version: 1, layout: { shards: [{ epoch: 1, owner: peer, witness: self, unknownForMs: 0 }] } }
    const node = new ClaimNode({
      service: 's',
      self,
      shards: 1,
      retentionMs: 1000,
      limit: 10,
      ports: {
        nowMs: () => 0,
        send: async () => undefined,
        read: async () => stored,
        write: async () => ({ kind: 'written', version: 2 }),
        processes: () => [self],
        isGone: async () => false,
        onChange: () => {}
      }
    })
    expect(await node.takeOver(0, 1)).toBe(false)
    node.replicate({ service: 's', shard: 0, epoch: 1, claims: [], isComplete: true, unknownForMs: 0 })
    expect(await node.takeOver(0, 1)).toBe(true)
  })

  it('are rebalanced over processes that start one after the other, instead of all staying with the first', async () => {
    const simulation = new ClaimSimulation({ seed: 3, lossShare: 0, duplicationShare: 0, shards: 16, retentionMs: 100_000 })
    for (const id of ['e1', 'e2', 'e3']) simulation.crash(id)
    await simulation.advance(20_000)
    const owners = simulation.layout!.shards.map(({ owner }) => owner.id)
    for (const id of ['e0', 'e1', 'e2', 'e3']) expect(owners.filter(owner => owner === id).length, id).toBeGreaterThan(1)
    expect(simulation.layout!.shards.filter(({ owner, witness }) => owner.failureDomain === witness?.failureDomain)).toEqual([])
    const { version } = simulation
    await simulation.advance(60_000)
    expect(simulation.version, 'layout version after the rebalancing has ended').toBe(version)
  })

  it('are still granted after a crash, disconnection or pause of the owner or the witness', async () => {
    for (const fail of [(simulation: ClaimSimulation, id: string) => simulation.crash(id), (simulation: ClaimSimulation, id: string) => simulation.disconnect(id, 60_000), (simulation: ClaimSimulation, id: string) => simulation.pause(id, 60_000)]) {
      for (const role of ['owner', 'witness'] as const) {
        const simulation = new ClaimSimulation({ seed: 1, lossShare: 0, duplicationShare: 0, shards: 1, retentionMs: 100_000 })
        await simulation.advance(2000)
        simulation.request(keys[0]!).catch(error => simulation.violations.push(String(error)))
        await simulation.advance(3000)
        const location = locateClaimShard(simulation.layout!, keys[0]!)!
        fail(simulation, location[role]!.id)
        for (const key of [keys[1]!, keys[2]!]) {
          simulation.at(simulation.nowMs + 2000, () => { simulation.request(key).catch(error => simulation.violations.push(String(error))) })
        }
        await simulation.advance(10_000)
        expect(simulation.violations).toEqual([])
        expect(locateClaimShard(simulation.layout!, keys[0]!)!.epoch).toBeGreaterThan(location.epoch)
        // A request whose runner is the failed process may end with the verdict `mayHaveRun`.
        expect([...simulation.runs.keys()].length + simulation.counts.mayHaveRun, role).toBe(3)
        expect(simulation.counts.lost).toBe(0)
      }
    }
  })

  it('have owner and witness in different failure domains, and the same owner at every router', () => {
    const processes: readonly ClaimProcess[] = ['a', 'a', 'b', 'c'].map((failureDomain, index) =>
      ({ id: `e${index}`, incarnation: '1', url: `http://e${index}`, vm: `vm${index}`, failureDomain }))
    const layout = createClaimLayout(32, processes)!
    for (const { owner, witness } of layout.shards) expect(witness?.failureDomain).not.toBe(owner.failureDomain)
    expect(createClaimLayout(32, processes.toReversed())).toEqual(layout)
    fc.assert(fc.property(fc.stringMatching(/^[0-9a-f]{64}$/), key => {
      expect(locateClaimShard(layout, key)).toEqual({ ...layout.shards[claimShardOf(key, 32)], shard: claimShardOf(key, 32) })
    }))
  })

  it('do not raise the epoch indefinitely while the only other process is dead but still registered', async () => {
    let stored: StoredLayout = { version: 0, layout: undefined }
    let nowMs = 0
    const node = new ClaimNode({
      service: 's',
      self: findPreferredOwner(0, [self, peer]) ?? self,
      shards: 1,
      retentionMs: 1000,
      limit: 100,
      ports: {
        nowMs: () => nowMs,
        send: async () => undefined,
        read: async () => stored,
        write: async layout => {
          stored = { version: stored.version + 1, layout }
          return { kind: 'written', version: stored.version }
        },
        processes: () => [self, peer],
        isGone: async () => false,
        onChange () {}
      }
    })
    for (let second = 0; second < 30; second += 1) {
      nowMs += 1000
      await node.reconcile()
      await new Promise(resolve => { setImmediate(resolve) })
    }
    expect(stored.layout?.shards[0]?.epoch).toBeLessThan(5)
  })
})
