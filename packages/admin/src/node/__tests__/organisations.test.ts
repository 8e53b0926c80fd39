import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { readAllItems, sha256, startAdmin, type AdminFixture } from './fixture.ts'
import { maxObjectBytes } from '../changeObject.ts'
import { organisationObjectName } from '../../shared/organisations/organisationShard.ts'
import { directoryDocument, directoryShardOf } from '@buckthorndrift/policy'

describe('organisations', () => {
  let admin: AdminFixture
  beforeEach(async () => { admin = await startAdmin() })
  afterEach(() => admin.kernel.stop())

  async function createBudget (organisation: string, name = 'main'): Promise<void> {
    ;(await admin.client.call('createOrganisation', { name: organisation })).unwrap()
    ;(await admin.client.call('createBudget', { organisation, name, grantedTokens: 100, operationId: 'op-1' })).unwrap()
  }

  describe('creation', () => {
    it('rejects a name that is taken, and allows one that every JavaScript object has as a property', async () => {
      for (const name of ['acme', 'constructor']) {
        expect((await admin.client.call('readOrganisation', { organisation: name })).unwrapErr()).toMatchObject({ problem: { code: 'notFound' } })
        expect((await admin.client.call('createOrganisation', { name })).unwrap()).toMatchObject({ name, budgets: [], keys: [] })
        expect((await admin.client.call('createOrganisation', { name })).unwrapErr()).toMatchObject({ problem: { code: 'conflict' } })
      }
    })

    it('loses no concurrent change of the same stored object', async () => {
      await createBudget('acme')
      const keys = await Promise.all(Array.from({ length: 6 }, () => admin.client.call('createKey', { organisation: 'acme', budget: 'main' })))
      const ids = keys.map(key => key.unwrap().keyId).toSorted()
      const listed = (await admin.client.call('readOrganisation', { organisation: 'acme' })).unwrap().keys.map(key => key.keyId)
      expect(listed.toSorted()).toEqual(ids)
    })

    it('reports success when the reply of a write was lost', async () => {
      admin.store.loseReplies = 1
      expect((await admin.client.call('createOrganisation', { name: 'acme' })).isOk()).toBe(true)
    })
  })

  describe('keys', () => {
    const ownerOf = (key: string): unknown => {
      const document = admin.store.get(directoryDocument(directoryShardOf(sha256(key))))
      return (document?.value as { keys: Record<string, unknown> } | undefined)?.keys[sha256(key)]
    }

    it('stores only the hash of a key, and lists its owner in the directory until the key is revoked', async () => {
      await createBudget('acme')
      const { key, keyId } = (await admin.client.call('createKey', { organisation: 'acme', budget: 'main' })).unwrap()
      expect(JSON.stringify([...admin.store.objects.entries.values()])).not.toContain(key)
      expect(ownerOf(key)).toEqual({ organisation: 'acme', budget: 'acme/main' })
      expect((await admin.client.call('revokeKey', { organisation: 'acme', keyId })).isOk()).toBe(true)
      expect(ownerOf(key)).toBeUndefined()
      expect((await admin.client.call('revokeKey', { organisation: 'acme', keyId })).unwrapErr()).toMatchObject({ problem: { code: 'notFound' } })
    })

    it('rejects a key for a budget that does not exist', async () => {
      await createBudget('acme')
      expect((await admin.client.call('createKey', { organisation: 'acme', budget: 'other' })).unwrapErr()).toMatchObject({ problem: { code: 'notFound' } })
    })

    it('lists a key that could not be added to the directory, so that it can be revoked', async () => {
      await createBudget('acme')
      const { write } = admin.store
      admin.store.write = async (name, value, version) => {
        if (name.startsWith('directory/')) admin.store.isCutOff = true
        return write.call(admin.store, name, value, version)
      }
      expect((await admin.client.call('createKey', { organisation: 'acme', budget: 'main' })).unwrapErr()).toMatchObject({ problem: { code: 'unavailable', mayHaveApplied: true } })
      admin.store.isCutOff = false
      expect((await admin.client.call('readOrganisation', { organisation: 'acme' })).unwrap().keys).toHaveLength(1)
    })
  })

  describe('budgets', () => {
    it('grants tokens once per operation id, and returns the free tokens', async () => {
      await createBudget('acme')
      const topUp = (tokens: number) => admin.client.call('topUpBudget', { organisation: 'acme', budget: 'main', tokens, operationId: 'op-2' })
      admin.store.loseReplies = 1
      for (let repeat = 0; repeat < 2; repeat++) expect((await topUp(50)).unwrap()).toMatchObject({ grantedTokens: 150, freeTokens: 150 })
      expect((await topUp(51)).unwrapErr()).toMatchObject({ problem: { code: 'conflict' } })
      expect((await admin.client.call('listBudgets', { organisation: 'acme' })).unwrap().items).toMatchObject([{ name: 'main', grantedTokens: 150 }])
    })

    it('creates the ledger with the configured number of shards, which cannot be changed later', async () => {
      await createBudget('acme')
      expect(admin.store.get('budgets/layout')?.value).toEqual({ shards: 4 })
    })

    it('keeps budgets of the same name in two organisations apart', async () => {
      await createBudget('acme')
      await createBudget('bolt')
      await admin.client.call('topUpBudget', { organisation: 'bolt', budget: 'main', tokens: 5, operationId: 'x' })
      expect((await admin.client.call('readBudget', { organisation: 'acme', budget: 'main' })).unwrap().grantedTokens).toBe(100)
      expect((await admin.client.call('readBudget', { organisation: 'bolt', budget: 'main' })).unwrap().grantedTokens).toBe(105)
    })
  })

  describe('at the planned size', () => {
    const organisations = 7400
    const keysPerOrganisation = Math.ceil(75_000 / organisations)
    const longName = (index: number): string => `organisation-with-a-rather-long-name-${index}`

    it('keeps every object below half the size limit and lists every organisation once', async () => {
      const shards = new Map<string, { organisations: Record<string, unknown> }>()
      const directory = new Map<string, Record<string, unknown>>()
      for (let index = 0; index < organisations; index++) {
        const name = longName(index)
        const hashes = Array.from({ length: keysPerOrganisation }, (_, key) => sha256(`${name} ${key}`))
        const object = organisationObjectName(sha256(name))
        const shard = shards.get(object) ?? { organisations: {} }
        shard.organisations[name] = {
          createdAtMs: 1_796_000_000_000,
          budgets: hashes.map((_, budget) => `budget-of-department-${budget}`),
          keys: Object.fromEntries(hashes.map((hash, budget) => [hash, { budget: `budget-of-department-${budget}`, createdAtMs: 1_796_000_000_000 }]))
        }
        shards.set(object, shard)
        for (const hash of hashes) {
          const document = directoryDocument(directoryShardOf(hash))
          const keys = directory.get(document) ?? {}
          keys[hash] = { organisation: name, budget: `${name}/budget-of-department-0` }
          directory.set(document, keys)
        }
      }
      const sizes = [...shards.values(), ...directory.values()].map(value => JSON.stringify(value).length)
      expect(Math.max(...sizes)).toBeLessThan(maxObjectBytes / 2)

      for (const [name, value] of shards) admin.store.put(name, value)
      const listed = await readAllItems(paging => admin.client.call('listOrganisations', { limit: 1000, ...paging }))
      const names = listed.map(item => item.name)
      expect(names).toHaveLength(organisations)
      expect(new Set(names).size).toBe(organisations)
    })
  })
})
