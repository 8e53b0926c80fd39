import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { locateClaimShard, type ClaimLayout } from '@buckthorndrift/policy'
import type { Claim, ClaimOutput } from '@buckthorndrift/protocol'
import type { Endpoint } from '../../index.ts'
import { createControlClient, FakePlatform, startTestEndpoint, waitUntil } from './fixtures.ts'

const keyHash = 'ab'.repeat(32)
const runner = { id: 'e9', incarnation: '1', url: 'http://127.0.0.1:1' }

describe('claims across endpoint processes', () => {
  let platform: FakePlatform
  let endpoints: Endpoint[]

  beforeEach(async () => {
    platform = new FakePlatform()
    endpoints = []
    for (const [id, failureDomain] of [['e1', 'a'], ['e2', 'b'], ['e3', 'c']] as const) {
      endpoints.push(await startTestEndpoint(platform, { id, vm: id, failureDomain, backEndUrl: 'http://127.0.0.1:1', claimShards: 4, controlTimeoutMs: 500 }))
    }
    await waitUntil(() => storedLayout()?.shards.every(shard => shard.witness !== undefined) === true)
  })

  afterEach(async () => {
    for (const endpoint of endpoints) await endpoint.kernel.stop()
  })

  const storedLayout = () => platform.objects.get('claims/desk')?.value as ClaimLayout | undefined
  const locateShard = () => locateClaimShard(storedLayout()!, keyHash)!
  const findEndpoint = (id: string) => endpoints.find(endpoint => endpoint.self.id === id)!
  const createClaim = (requestId: string): Claim => ({ keyHash, contentHash: 'c', requestId, runner, idempotent: false })

  async function sendClaim (requestId: string, at = locateShard().owner.id): Promise<ClaimOutput> {
    const { shard, epoch } = locateShard()
    return await createControlClient(findEndpoint(at)).claims.claim.mutate({ service: 'desk', shard, epoch, claim: createClaim(requestId) })
  }

  it('grants the claim on an idempotency key to one request only, and chooses the witness (replica) of a claim shard from a failure domain other than that of the owner', async () => {
    expect(await sendClaim('r.1.1')).toEqual({ kind: 'granted' })
    expect(await sendClaim('r.1.1')).toEqual({ kind: 'granted' })
    expect(await sendClaim('r.1.2')).toEqual({ kind: 'held', claim: createClaim('r.1.1') })
    for (const { owner, witness } of storedLayout()!.shards) expect(witness!.failureDomain).not.toBe(owner.failureDomain)
  })

  it('keeps claims when the owner shuts down gracefully and when the witness takes over the shard', async () => {
    await sendClaim('r.1.1')
    const first = locateShard()
    await findEndpoint(first.owner.id).kernel.stop()
    expect(locateShard()).toMatchObject({ owner: { id: first.witness!.id } })
    expect(await sendClaim('r.1.2')).toEqual({ kind: 'held', claim: createClaim('r.1.1') })
    const second = locateShard()
    await createControlClient(findEndpoint(second.witness!.id)).claims.takeOver.mutate({ service: 'desk', shard: second.shard, epoch: second.epoch })
    expect(locateShard().owner.id).toBe(second.witness!.id)
    expect(await sendClaim('r.1.3')).toEqual({ kind: 'held', claim: createClaim('r.1.1') })
  })

  it('refuses a takeover while the platform is down, and does not report a key as unclaimed meanwhile', async () => {
    const { shard, epoch, witness } = locateShard()
    platform.isDown = true
    await expect(createControlClient(findEndpoint(witness!.id)).claims.takeOver.mutate({ service: 'desk', shard, epoch })).rejects.toThrow('cannot be taken over')
    expect(await sendClaim('r.1.1', witness!.id)).toEqual({ kind: 'unavailable', isKnownUnclaimed: false })
    expect(await sendClaim('r.1.1'), 'the owner still grants claims').toEqual({ kind: 'granted' })
    expect(await sendClaim('r.1.2', witness!.id)).toEqual({ kind: 'held', claim: createClaim('r.1.1') })
    platform.isDown = false
  })
})
