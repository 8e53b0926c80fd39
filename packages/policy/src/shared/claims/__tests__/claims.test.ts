import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { caretakerOf, ClaimNode, ClaimShard, claimShardOf, createClaimLayout, locateClaimShard, type ClaimCopy, type ClaimProcess, type StoredLayout } from '../index.ts'
import { World } from './claimWorld.ts'

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
/** `CLAIM_RUNS` sets the number of random worlds for long runs, `CLAIM_SEED` their seed. */
const runs = Number(process.env['CLAIM_RUNS'] ?? 150)
const seeds = process.env['CLAIM_SEED'] === undefined ? {} : { seed: Number(process.env['CLAIM_SEED']) }

describe('claims', () => {
  it('never run a non-idempotent request twice, and say notRun only for keys that never ran', async () => {
    const totals = { granted: 0, notRun: 0, mayHaveRun: 0, answered: 0, takenOver: 0, lost: 0 }
    const shares = fc.constantFrom(0, 0.02, 0.15)
    await fc.assert(fc.asyncProperty(fc.array(fault, { minLength: 20, maxLength: 80 }), fc.integer(), shares, shares, async (faults, seed, lossShare, doubledShare) => {
      const world = new World({ seed, lossShare, doubledShare, shards: 2, retentionMs: 100_000 })
      for (const one of faults) {
        world.at(500 + one.atMs, () => {
          switch (one.kind) {
            case 'request': world.request(one.key).catch(error => world.problems.push(String(error))); break
            case 'crash': world.crash(one.id); break
            case 'pause': world.pause(one.id, one.durationMs); break
            case 'cut': world.cut(one.id, one.durationMs); break
            case 'platformDown': world.platformDown(one.durationMs); break
          }
        })
      }
      await world.advance(25_000)
      for (const [name, count] of Object.entries(world.counts)) totals[name as keyof typeof totals] += count
      expect(world.problems).toEqual([])
    }), { numRuns: runs, endOnFailure: true, ...seeds })
    // A run in which nothing is claimed, taken over or lost would show nothing.
    for (const [name, count] of Object.entries(totals)) expect(count, name).toBeGreaterThan(0)
  })

  it('keep the latest claim on a key at the witness when an earlier copy arrives late', async () => {
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

  it('are trusted only by a process that has every claim of the epoch before', async () => {
    const claim = { keyHash: keys[0]!, contentHash: 'c', requestId: 'r.1.1', runner: self, idempotent: false }
    const copy = { service: 's', shard: 0, epoch: 1, claims: [claim], isComplete: false, unknownForMs: 0 }
    const shard = new ClaimShard({ ...shardOptions, self, send: async () => undefined })
    expect(shard.replicate(copy), 'part of a shard under an unknown epoch').toEqual({ isAccepted: false, epoch: 0 })
    shard.applyLayout({ epoch: 1, owner: peer, witness: self, unknownForMs: 0 })
    expect(shard.replicate(copy), 'part of a shard before the whole').toEqual({ isAccepted: false, epoch: 1 })
    expect(shard.isWhole).toBe(false)
    shard.replicate({ ...copy, isComplete: true })
    shard.applyLayout({ epoch: 3, owner: self, unknownForMs: 0 })
    expect(await shard.claim({ service: 's', shard: 0, epoch: 3, claim }), 'another process may have granted keys under epoch 2').toEqual({ kind: 'unknown' })
  })

  it('are not taken over by a witness that has no whole copy', async () => {
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

  it('spread over processes that start one after the other, instead of staying with the first', async () => {
    const world = new World({ seed: 3, lossShare: 0, doubledShare: 0, shards: 16, retentionMs: 100_000 })
    for (const id of ['e1', 'e2', 'e3']) world.crash(id)
    await world.advance(20_000)
    const owners = world.layout!.shards.map(({ owner }) => owner.id)
    for (const id of ['e0', 'e1', 'e2', 'e3']) expect(owners.filter(owner => owner === id).length, id).toBeGreaterThan(1)
    expect(world.layout!.shards.filter(({ owner, witness }) => owner.failureDomain === witness?.failureDomain)).toEqual([])
    const { version } = world
    await world.advance(60_000)
    expect(world.version, 'and then stay there').toBe(version)
  })

  it('go on after every single fault, so that bookings do not stop', async () => {
    for (const fail of [(world: World, id: string) => world.crash(id), (world: World, id: string) => world.cut(id, 60_000), (world: World, id: string) => world.pause(id, 60_000)]) {
      for (const role of ['owner', 'witness'] as const) {
        const world = new World({ seed: 1, lossShare: 0, doubledShare: 0, shards: 1, retentionMs: 100_000 })
        await world.advance(2000)
        world.request(keys[0]!).catch(error => world.problems.push(String(error)))
        await world.advance(3000)
        const place = locateClaimShard(world.layout!, keys[0]!)!
        fail(world, place[role]!.id)
        for (const key of [keys[1]!, keys[2]!]) {
          world.at(world.nowMs + 2000, () => { world.request(key).catch(error => world.problems.push(String(error))) })
        }
        await world.advance(10_000)
        expect(world.problems).toEqual([])
        expect(locateClaimShard(world.layout!, keys[0]!)!.epoch).toBeGreaterThan(place.epoch)
        // A request whose runner was the failed process may end without an answer.
        expect([...world.runs.keys()].length + world.counts.mayHaveRun, role).toBe(3)
        expect(world.counts.lost).toBe(0)
      }
    }
  })

  it('places owner and witness in different failure domains, and every router finds the same owner', () => {
    const processes: readonly ClaimProcess[] = ['a', 'a', 'b', 'c'].map((failureDomain, index) =>
      ({ id: `e${index}`, incarnation: '1', url: `http://e${index}`, vm: `vm${index}`, failureDomain }))
    const layout = createClaimLayout(32, processes)!
    for (const { owner, witness } of layout.shards) expect(witness?.failureDomain).not.toBe(owner.failureDomain)
    expect(createClaimLayout(32, processes.toReversed())).toEqual(layout)
    fc.assert(fc.property(fc.stringMatching(/^[0-9a-f]{64}$/), key => {
      expect(locateClaimShard(layout, key)).toEqual({ ...layout.shards[claimShardOf(key, 32)], shard: claimShardOf(key, 32) })
    }))
  })

  it('does not raise the epoch without end while the only other process is dead but still registered', async () => {
    let stored: StoredLayout = { version: 0, layout: undefined }
    let nowMs = 0
    const node = new ClaimNode({
      service: 's',
      self: caretakerOf(0, [self, peer]) ?? self,
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
