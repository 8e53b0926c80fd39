import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { ManualTimers, silentLog } from '@buckthorndrift/kernel'
import { MemoryObjectStore, type Documents, type MemoryStoreCall, type MemoryStoreFault } from '@buckthorndrift/coordination'
import { directoryDocument, directoryShardCount, type DirectoryShard } from '@buckthorndrift/policy'
import { createBudgetHandlers } from '../handlers/budgets.ts'
import type { AdminServices } from '../handlers/handlers.ts'
import { createOrganisationHandlers } from '../handlers/organisations.ts'
import { OrganisationStore } from '../organisationStore.ts'
import { createStoredBudgets } from '../storedBudgets.ts'
import { sha256 } from './fixture.ts'

const operator = { name: 'anna' }
const organisation = 'acme'
const budget = 'main'
const lateMs = 50

type Step =
  | { readonly kind: 'topUp', readonly operation: number }
  | { readonly kind: 'createKey' }
  | { readonly kind: 'revoke', readonly index: number }
  | { readonly kind: 'pause' }

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constant('topUp' as const), operation: fc.integer({ min: 0, max: 9 }) }),
  fc.record({ kind: fc.constant('createKey' as const) }),
  fc.record({ kind: fc.constant('revoke' as const), index: fc.nat(5) }),
  fc.record({ kind: fc.constant('pause' as const) })
)
const faultArbitrary = fc.constantFrom<MemoryStoreFault>('none', 'none', 'none', 'lostRequest', 'lostReply', 'lateRequest', 'unavailable')

function startHandlers (faultOf: (call: MemoryStoreCall) => MemoryStoreFault) {
  const timers = new ManualTimers()
  const store = new MemoryObjectStore({ timers, faultOf, lateMs })
  const documents = { learn () {} } as unknown as Documents
  const services = { store, documents, timers, log: silentLog, budgets: createStoredBudgets(store) } as unknown as AdminServices
  const organisations = new OrganisationStore(store, documents)
  return { timers, store, ...createOrganisationHandlers(services, organisations), ...createBudgetHandlers(services, organisations) }
}

async function workingHashes (store: MemoryObjectStore): Promise<readonly string[]> {
  const shards = await Promise.all(Array.from({ length: directoryShardCount }, (_, shard) => store.read(directoryDocument(shard))))
  return shards.flatMap(shard => Object.keys((shard.unwrap()?.value as DirectoryShard | undefined)?.keys ?? {}))
}

describe('changes under faults of the platform', () => {
  it('grants each operation once, and leaves no key that works but cannot be seen or was revoked', async () => {
    await fc.assert(fc.asyncProperty(fc.array(stepArbitrary, { maxLength: 25 }), fc.array(faultArbitrary, { minLength: 1, maxLength: 60 }), async (steps, faults) => {
      let calls = 0
      let isFaulty = false
      const admin = startHandlers(() => isFaulty ? faults[calls++ % faults.length] ?? 'none' : 'none')
      ;(await admin.createOrganisation({ name: organisation }, operator)).unwrap()
      ;(await admin.createBudget({ organisation, name: budget, grantedTokens: 100, operationId: 'first' }, operator)).unwrap()
      const topUp = (operation: number) => admin.topUpBudget({ organisation, budget, tokens: 10 + operation, operationId: `op-${operation}` }, operator)
      const asked = new Set<number>()
      const created: string[] = []
      const revoked: string[] = []
      const tried: string[] = []

      isFaulty = true
      for (const step of steps) {
        if (step.kind === 'pause') admin.timers.advance(lateMs)
        if (step.kind === 'topUp') {
          asked.add(step.operation)
          await topUp(step.operation)
        }
        if (step.kind === 'createKey') {
          const key = await admin.createKey({ organisation, budget }, operator)
          if (key.isOk()) created.push(sha256(key.value.key))
        }
        if (step.kind === 'revoke') {
          const keyId = (await admin.readOrganisation({ organisation }, operator)).map(found => found.keys[step.index]?.keyId).unwrapOr(undefined)
          if (keyId === undefined) continue
          tried.push(keyId)
          if ((await admin.revokeKey({ organisation, keyId }, operator)).isOk()) revoked.push(keyId)
        }
      }
      isFaulty = false
      admin.timers.advance(10 * lateMs)

      for (const operation of asked) (await topUp(operation)).unwrap()
      const expected = [...asked].reduce((sum, operation) => sum + 10 + operation, 100)
      expect((await admin.readBudget({ organisation, budget }, operator)).unwrap().grantedTokens).toBe(expected)

      const listed = (await admin.readOrganisation({ organisation }, operator)).unwrap().keys.map(key => key.keyId)
      const working = await workingHashes(admin.store)
      expect(working.filter(hash => !listed.includes(hash.slice(0, 16)))).toEqual([])
      expect(working.filter(hash => revoked.includes(hash.slice(0, 16)))).toEqual([])
      // A revocation whose outcome is unknown may have taken effect; every other key that was handed out works.
      expect(created.filter(hash => !tried.includes(hash.slice(0, 16)) && !working.includes(hash))).toEqual([])
    }), { numRuns: 300 })
  })
})
