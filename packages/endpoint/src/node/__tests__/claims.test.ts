import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { locateClaimShard, type ClaimLayout } from '@buckthorndrift/policy'
import type { Claim, ClaimOutput } from '@buckthorndrift/protocol'
import type { Endpoint } from '../../index.ts'
import { controlOf, FakePlatform, startTestEndpoint, until } from './fixtures.ts'

const keyHash = 'ab'.repeat(32)
const runner = { id: 'e9', incarnation: '1', url: 'http://127.0.0.1:1' }

describe('claims between processes', () => {
  let platform: FakePlatform
  let endpoints: Endpoint[]

  beforeEach(async () => {
    platform = new FakePlatform()
    endpoints = []
    for (const [id, failureDomain] of [['e1', 'a'], ['e2', 'b'], ['e3', 'c']] as const) {
      endpoints.push(await startTestEndpoint(platform, { id, vm: id, failureDomain, backEndUrl: 'http://127.0.0.1:1', claimShards: 4, controlTimeoutMs: 500 }))
    }
    await until(() => layout()?.shards.every(shard => shard.witness !== undefined) === true)
  })

  afterEach(async () => {
    for (const endpoint of endpoints) await endpoint.kernel.stop()
  })

  const layout = () => platform.objects.get('claims/desk')?.value as ClaimLayout | undefined
  const place = () => locateClaimShard(layout()!, keyHash)!
  const processOf = (id: string) => endpoints.find(endpoint => endpoint.self.id === id)!
  const claimOf = (requestId: string): Claim => ({ keyHash, contentHash: 'c', requestId, runner, idempotent: false })

  async function ask (requestId: string, at = place().owner.id): Promise<ClaimOutput> {
    const { shard, epoch } = place()
    return await controlOf(processOf(at)).claims.claim.mutate({ service: 'desk', shard, epoch, claim: claimOf(requestId) })
  }

  it('grants a key once, and takes witnesses from another failure domain', async () => {
    expect(await ask('r.1.1')).toEqual({ kind: 'granted' })
    expect(await ask('r.1.1')).toEqual({ kind: 'granted' })
    expect(await ask('r.1.2')).toEqual({ kind: 'held', claim: claimOf('r.1.1') })
    for (const { owner, witness } of layout()!.shards) expect(witness!.failureDomain).not.toBe(owner.failureDomain)
  })

  it('keeps claims through a graceful shutdown of the owner and through a takeover', async () => {
    await ask('r.1.1')
    const first = place()
    await processOf(first.owner.id).kernel.stop()
    expect(place()).toMatchObject({ owner: { id: first.witness!.id } })
    expect(await ask('r.1.2')).toEqual({ kind: 'held', claim: claimOf('r.1.1') })
    const second = place()
    await controlOf(processOf(second.witness!.id)).claims.takeOver.mutate({ service: 'desk', shard: second.shard, epoch: second.epoch })
    expect(place().owner.id).toBe(second.witness!.id)
    expect(await ask('r.1.3')).toEqual({ kind: 'held', claim: claimOf('r.1.1') })
  })

  it('refuses a takeover without the platform, and then never says that a key is unclaimed', async () => {
    const { shard, epoch, witness } = place()
    platform.isDown = true
    await expect(controlOf(processOf(witness!.id)).claims.takeOver.mutate({ service: 'desk', shard, epoch })).rejects.toThrow('cannot be taken over')
    expect(await ask('r.1.1', witness!.id)).toEqual({ kind: 'unavailable', isKnownUnclaimed: false })
    expect(await ask('r.1.1'), 'the owner goes on').toEqual({ kind: 'granted' })
    expect(await ask('r.1.2', witness!.id)).toEqual({ kind: 'held', claim: claimOf('r.1.1') })
    platform.isDown = false
  })
})
