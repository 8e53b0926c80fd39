/** Stored objects `organisations/<shard>`: organisations with the names of their budgets and the hashes of their keys. */
import { Ok, type Result } from 'ts-results-es'
import { z } from 'zod'
import { refuse, type AdminProblem } from '../problem.ts'

/** With 64 shards, 7,400 organisations with 75,000 keys and budgets take about 250 KB per object. */
export const organisationShardCount = 64
/** Limits per organisation, so that a large organisation cannot fill the stored object that it shares with others. */
export const maxKeysPerOrganisation = 2000
export const maxBudgetsPerOrganisation = 2000

const organisationSchema = z.object({
  createdAtMs: z.number(),
  budgets: z.array(z.string()),
  /** Indexed by the SHA-256 of the key in hex. */
  keys: z.record(z.string(), z.object({ budget: z.string(), createdAtMs: z.number() }))
}).readonly()
export type StoredOrganisation = z.infer<typeof organisationSchema>

export const organisationShardSchema = z.object({ organisations: z.record(z.string(), organisationSchema) }).readonly()
export type OrganisationShard = z.infer<typeof organisationShardSchema>

/** Returns the name of the object that stores an organisation; `hash` is the SHA-256 of the organisation's name in hex. */
export function organisationObjectName (hash: string): string {
  return `organisations/${Number.parseInt(hash.slice(0, 2), 16) % organisationShardCount}`
}

/** Returns the public id of a key: the first 16 digits of its hash. */
export function keyIdOf (hash: string): string {
  return hash.slice(0, 16)
}

/** Returns the name of a budget that is unique in the fleet, because two organisations can use the same budget name. */
export function fullBudgetName (organisation: string, budget: string): string {
  return `${organisation}/${budget}`
}

export function findOrganisation (shard: OrganisationShard, name: string): Result<StoredOrganisation, AdminProblem> {
  // Checks own properties only, because `constructor` is a valid organisation name.
  const found = Object.hasOwn(shard.organisations, name) ? shard.organisations[name] : undefined
  return found === undefined ? refuse('notFound', `there is no organisation ${name}`) : Ok(found)
}

export function addOrganisation (shard: OrganisationShard, name: string, nowMs: number): Result<OrganisationShard, AdminProblem> {
  if (Object.hasOwn(shard.organisations, name)) return refuse('conflict', `organisation ${name} already exists`)
  return Ok({ organisations: { ...shard.organisations, [name]: { createdAtMs: nowMs, budgets: [], keys: {} } } })
}

function replaceOrganisation (shard: OrganisationShard, name: string, change: (organisation: StoredOrganisation) => Result<StoredOrganisation, AdminProblem>): Result<OrganisationShard, AdminProblem> {
  return findOrganisation(shard, name).andThen(change)
    .map(organisation => ({ organisations: { ...shard.organisations, [name]: organisation } }))
}

/** Adds a budget name. Adding it again has no effect, so that an interrupted creation can be repeated. */
export function addBudgetName (shard: OrganisationShard, name: string, budget: string): Result<OrganisationShard, AdminProblem> {
  return replaceOrganisation(shard, name, organisation => {
    if (organisation.budgets.includes(budget)) return Ok(organisation)
    if (organisation.budgets.length >= maxBudgetsPerOrganisation) return refuse('tooLarge', `organisation ${name} already has the maximum of ${maxBudgetsPerOrganisation} budgets`)
    return Ok({ ...organisation, budgets: [...organisation.budgets, budget] })
  })
}

export function addKeyEntry (shard: OrganisationShard, name: string, hash: string, entry: StoredOrganisation['keys'][string]): Result<OrganisationShard, AdminProblem> {
  return replaceOrganisation(shard, name, organisation => {
    if (!organisation.budgets.includes(entry.budget)) return refuse('notFound', `organisation ${name} has no budget ${entry.budget}`)
    if (Object.keys(organisation.keys).length >= maxKeysPerOrganisation) return refuse('tooLarge', `organisation ${name} already has the maximum of ${maxKeysPerOrganisation} keys; revoke some first`)
    return Ok({ ...organisation, keys: { ...organisation.keys, [hash]: entry } })
  })
}

/** Removes a key. Has no effect when the organisation does not have it. */
export function removeKeyEntry (shard: OrganisationShard, name: string, hash: string): Result<OrganisationShard, AdminProblem> {
  return replaceOrganisation(shard, name, organisation => {
    const { [hash]: _, ...keys } = organisation.keys
    return Ok({ ...organisation, keys })
  })
}
