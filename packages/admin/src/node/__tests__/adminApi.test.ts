import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { createAdminClient } from '../../index.ts'
import { adminKey, startAdmin, type AdminFixture } from './fixture.ts'

const fleetText = (limit: number): string => `services: { desk: { kind: plain, versions: [{ name: v1 }], endpointLimit: ${limit}, calls: [{ route: GET /, idempotent: true, priceTokens: 1 }] } }`
const headers = { authorization: `Bearer ${adminKey}` }

describe('administration API', () => {
  let admin: AdminFixture
  beforeEach(async () => { admin = await startAdmin() })
  afterEach(() => admin.kernel.stop())

  describe('authentication', () => {
    it.each([undefined, 'Bearer wrong', 'Bearer ', adminKey])('rejects authorization %s with a problem body', async authorization => {
      const response = await fetch(`${admin.url}/fleet`, { headers: authorization === undefined ? {} : { authorization } })
      expect([response.status, response.headers.get('content-type')]).toEqual([401, 'application/problem+json'])
      expect(await response.json()).toMatchObject({ code: 'unauthenticated', status: 401 })
    })

    it('serves its OpenAPI description without a key', async () => {
      expect(await (await fetch(`${admin.url}/openapi.json`)).json()).toMatchObject({ openapi: '3.1.0' })
    })
  })

  describe('invalid requests', () => {
    it.each([
      ['an unknown path', 'GET', '/fleets', undefined, 404, 'notFound'],
      ['text that is not JSON', 'PUT', '/fleet', '{', 400, 'badRequest'],
      ['a missing field', 'PUT', '/fleet', '{"text":""}', 400, 'badRequest'],
      ['an unknown field', 'POST', '/organisations', '{"name":"a","nme":"b"}', 400, 'badRequest'],
      ['a mistyped filter, which must not return unfiltered records', 'GET', '/refusals?fromMs=0&toMs=1&organization=a', undefined, 400, 'badRequest'],
      ['a path with an invalid percent-encoding', 'GET', '/organisations/%E0%A4%A', undefined, 400, 'badRequest'],
      ['a name with a path separator, which could address another object', 'GET', '/organisations/..%2Fa', undefined, 400, 'badRequest'],
      ['a body above the limit', 'PUT', '/fleet', JSON.stringify({ text: 'x'.repeat(3e6) }), 413, 'tooLarge']
    ])('answers %s with a problem body and writes nothing', async (_, method, path, body, status, code) => {
      const response = await fetch(`${admin.url}${path}`, { method, headers, ...(body === undefined ? {} : { body }) })
      expect(await response.json()).toMatchObject({ status, code })
      expect(response.status).toBe(status)
      expect(admin.store.objects.entries.size).toBe(0)
    })
  })

  describe('fleet text', () => {
    it('applies a text at the expected version and stores the name of the operator', async () => {
      const applied = await admin.client.call('applyFleet', { text: fleetText(1), expectedVersion: 0 })
      expect(applied.unwrap().changes).toContainEqual({ kind: 'added', part: 'desk endpointLimit', after: '1' })
      expect((await admin.client.call('readFleet', {})).unwrap()).toMatchObject({ version: 1, text: fleetText(1), appliedBy: 'anna' })
    })

    it('checks a text without applying it, and returns its changes or problems', async () => {
      await admin.client.call('applyFleet', { text: fleetText(1), expectedVersion: 0 })
      const changes = [{ kind: 'changed', part: 'desk endpointLimit', before: '1', after: '2' }]
      expect((await admin.client.call('checkFleet', { text: fleetText(2) })).unwrap()).toEqual({ version: 1, problems: [], changes })
      expect((await admin.client.call('checkFleet', { text: 'services: {}' })).unwrap().problems[0]).toMatchObject({ line: 1 })
      expect(admin.store.get('config/fleet')?.version).toBe(1)
    })

    it('rejects an invalid text with its problems and writes nothing', async () => {
      const refused = (await admin.client.call('applyFleet', { text: fleetText(0), expectedVersion: 0 })).unwrapErr()
      expect(refused).toMatchObject({ problem: { code: 'invalidFleetText', problems: [{ line: 1 }] } })
      expect(admin.store.objects.entries.size).toBe(0)
    })

    it('accepts exactly one of several concurrent writes and gives the others the present version', async () => {
      const results = await Promise.all([1, 2, 3, 4].map(limit => admin.client.call('applyFleet', { text: fleetText(limit), expectedVersion: 0 })))
      expect(results.filter(result => result.isOk())).toHaveLength(1)
      for (const result of results) if (result.isErr()) expect(result.error).toMatchObject({ problem: { code: 'conflict', version: 1 } })
    })

    it('reports success when the write took effect and only its reply was lost', async () => {
      admin.store.loseReplies = 1
      expect((await admin.client.call('applyFleet', { text: fleetText(1), expectedVersion: 0 })).unwrap().version).toBe(1)
    })

    it('reports a conflict when the reply was lost and another operator wrote afterwards', async () => {
      admin.store.loseReplies = 1
      const { read } = admin.store
      admin.store.read = async name => {
        if (admin.store.get(name)?.version === 1) admin.store.put(name, { text: fleetText(9), appliedBy: 'bert', appliedAtMs: 1 })
        return read.call(admin.store, name)
      }
      expect((await admin.client.call('applyFleet', { text: fleetText(1), expectedVersion: 0 })).unwrapErr()).toMatchObject({ problem: { code: 'conflict', version: 2 } })
    })

    it('reports that the platform is unavailable', async () => {
      admin.store.isCutOff = true
      expect((await admin.client.call('readFleet', {})).unwrapErr()).toMatchObject({ problem: { code: 'unavailable', status: 503 } })
    })
  })

  describe('processes', () => {
    it('lists services with their endpoint processes, members with their state, and rollouts', async () => {
      await admin.client.call('applyFleet', { text: fleetText(1), expectedVersion: 0 })
      expect((await admin.client.call('listServices', {})).unwrap().items).toMatchObject([{ name: 'desk', versions: [{ name: 'v1', endpoints: 1, leaving: 0 }] }])
      expect((await admin.client.call('listMembers', {})).unwrap().items.map(member => [member.id, member.state])).toEqual([['r1', 'live'], ['r2', 'suspected'], ['e1', 'live']])
      expect((await admin.client.call('listRollouts', {})).unwrap().items).toEqual([])
      const state = { service: 'desk', baseline: 'v0', target: 'v1', targetShare: 0, phase: { kind: 'rolledBack', reason: 'slow' }, startedAtMs: 5, holder: 'r1', fencingToken: 1 }
      admin.learn(admin.store.put('rollouts/desk', state))
      expect((await admin.client.call('listRollouts', {})).unwrap().items).toMatchObject([{ service: 'desk', target: 'v1', targetShare: 0, phase: 'rolledBack', reason: 'slow' }])
    })

    it('reports which processes follow the text, are unreachable or do not report a version', async () => {
      await admin.client.call('applyFleet', { text: fleetText(1), expectedVersion: 0 })
      const { followers } = (await admin.client.call('listFollowers', {})).unwrap()
      expect(followers.map(follower => [follower.id, follower.state])).toEqual([['r1', 'following'], ['r2', 'unreachable'], ['e1', 'notReported']])
    })

    it('drains its own process, and gives the reason when it cannot drain another one', async () => {
      expect((await admin.client.call('drainMember', { member: 'r1' })).isOk()).toBe(true)
      expect(admin.drains).toBe(1)
      expect((await admin.client.call('drainMember', { member: 'r2' })).unwrapErr()).toMatchObject({ problem: { code: 'notSupported' } })
      expect((await admin.client.call('drainMember', { member: 'e1' })).unwrapErr()).toMatchObject({ problem: { code: 'unavailable' } })
      expect((await admin.client.call('drainMember', { member: 'e9' })).unwrapErr()).toMatchObject({ problem: { code: 'notFound' } })
    })
  })
})

describe('admin client', () => {
  it('reports an address without a listener as unreachable, not as a problem', async () => {
    const client = createAdminClient({ url: 'http://127.0.0.1:1', key: adminKey, timeoutMs: 2000 })
    expect((await client.call('readFleet', {})).unwrapErr()).toMatchObject({ kind: 'unreachable' })
  })
})
