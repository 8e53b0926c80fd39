/** Handlers of the operations on organisations and their API keys. */
import { randomBytes } from 'node:crypto'
import { Ok, type Result } from 'ts-results-es'
import {
  addKeyEntry, addOrganisation, findOrganisation, fullBudgetName, keyIdOf, organisationShardCount, removeKeyEntry, type StoredOrganisation
} from '../../shared/organisations/organisationShard.ts'
import { refuse, type AdminProblem } from '../../shared/problem.ts'
import type { OutputOf } from '../../shared/operations.ts'
import { sha256, type OrganisationStore } from '../organisationStore.ts'
import type { AdminServices, Handlers } from './handlers.ts'

const keyPrefix = 'bd_'
const keyBytes = 32

function detailsOf (name: string, organisation: StoredOrganisation): OutputOf<'readOrganisation'> {
  const keys = Object.entries(organisation.keys).map(([hash, key]) => ({ keyId: keyIdOf(hash), ...key }))
  return { name, createdAtMs: organisation.createdAtMs, budgets: [...organisation.budgets], keys }
}

function summariesOf (organisations: Readonly<Record<string, StoredOrganisation>>): OutputOf<'listOrganisations'>['items'] {
  return Object.entries(organisations)
    .map(([name, { createdAtMs, budgets, keys }]) => ({ name, createdAtMs, budgets: budgets.length, keys: Object.keys(keys).length }))
    .toSorted((a, b) => a.name < b.name ? -1 : 1)
}

/** Parses the cursor `<shard>/<name>`. Organisations are listed shard by shard: sorting all of them by name would read every shard for each page. */
function parseCursor (after: string): Result<{ readonly shard: number, readonly name: string }, AdminProblem> {
  const [shard = '', name = ''] = after.split('/')
  if (!/^\d{1,2}$/.test(shard)) return refuse('badRequest', 'after must be the next value of an earlier page')
  return Ok({ shard: Number(shard), name })
}

export function createOrganisationHandlers (services: AdminServices, organisations: OrganisationStore): Pick<Handlers, 'listOrganisations' | 'createOrganisation' | 'readOrganisation' | 'createKey' | 'revokeKey'> {
  return {
    async listOrganisations ({ after, limit }) {
      const start = parseCursor(after ?? '0/')
      if (start.isErr()) return start
      const items: Array<OutputOf<'listOrganisations'>['items'][number]> = []
      for (let shard = start.value.shard; shard < organisationShardCount; shard++) {
        const read = await organisations.readShard(`organisations/${shard}`)
        if (read.isErr()) return read
        const shardSummaries = summariesOf(read.value.organisations)
        const isFirst = shard === start.value.shard
        for (const item of shardSummaries.filter(({ name }) => !isFirst || name > start.value.name)) {
          if (items.length === limit) return Ok({ items, next: nextCursor(shard, items, shardSummaries) })
          items.push(item)
        }
      }
      return Ok({ items })
    },

    async createOrganisation ({ name }, operator) {
      const nowMs = services.timers.nowMs()
      const created = await organisations.change(name, {
        apply: shard => addOrganisation(shard, name, nowMs),
        isApplied: shard => findOrganisation(shard, name).map(found => found.createdAtMs === nowMs).unwrapOr(false)
      })
      if (created.isOk()) services.log.event('organisationCreated', { organisation: name, operator: operator.name })
      return created.map(organisation => detailsOf(name, organisation))
    },

    async readOrganisation ({ organisation: name }) {
      return (await organisations.find(name)).map(organisation => detailsOf(name, organisation))
    },

    async createKey ({ organisation, budget }, operator) {
      const key = `${keyPrefix}${randomBytes(keyBytes).toString('base64url')}`
      const hash = sha256(key)
      const entry = { budget, createdAtMs: services.timers.nowMs() }
      // The key is added to the organisation before it becomes valid. In the opposite order, a failure in between could leave a valid key that no operator can see or revoke.
      const listed = await organisations.change(organisation, {
        apply: shard => addKeyEntry(shard, organisation, hash, entry),
        isApplied: shard => findOrganisation(shard, organisation).map(found => Object.hasOwn(found.keys, hash)).unwrapOr(false)
      })
      if (listed.isErr()) return listed
      const published = await organisations.publishKey(hash, { organisation, budget: fullBudgetName(organisation, budget) })
      if (published.isErr()) return refuse(published.error.code, `${published.error.detail}; revoke key ${keyIdOf(hash)} and create another`, { mayHaveApplied: true })
      services.log.event('keyCreated', { organisation, keyId: keyIdOf(hash), operator: operator.name })
      return Ok({ keyId: keyIdOf(hash), ...entry, key })
    },

    async revokeKey ({ organisation, keyId }, operator) {
      const found = await organisations.find(organisation)
      if (found.isErr()) return found
      const hash = Object.keys(found.value.keys).find(candidate => keyIdOf(candidate) === keyId)
      if (hash === undefined) return refuse('notFound', `organisation ${organisation} has no key ${keyId}`)
      const withdrawn = await organisations.withdrawKey(hash)
      if (withdrawn.isErr()) return withdrawn
      const removed = await organisations.change(organisation, {
        apply: shard => removeKeyEntry(shard, organisation, hash),
        isApplied: shard => findOrganisation(shard, organisation).map(present => !Object.hasOwn(present.keys, hash)).unwrapOr(true)
      })
      if (removed.isOk()) services.log.event('keyRevoked', { organisation, keyId, operator: operator.name })
      return removed.map(() => ({ keyId }))
    }
  }
}

/** Returns the cursor after the last item of the page. When that item is in an earlier shard, returns the start of `shard`. */
function nextCursor (shard: number, items: OutputOf<'listOrganisations'>['items'], shardItems: OutputOf<'listOrganisations'>['items']): string {
  const last = items.at(-1)?.name ?? ''
  return shardItems.some(({ name }) => name === last) ? `${shard}/${last}` : `${shard}/`
}
