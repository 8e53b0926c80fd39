/** Generates the platform objects of a fleet of a given size. */
import { createHash } from 'node:crypto'
import { startObjectApi, type ObjectApi } from '@buckthorndrift/standins'
import { directoryDocument, directoryShardOf, directoryShardCount } from '@buckthorndrift/policy'
import { memberListName } from '@buckthorndrift/coordination'
import type { Member } from '@buckthorndrift/protocol'

export interface FleetSize {
  /** Number of API keys; each has a budget of its own. */
  readonly keys: number
  readonly routers: number
  readonly endpoints: number
  readonly services: number
}

const failureDomains = ['a1', 'a2', 'b1', 'b2']
const budgetsPerOrganisation = 10

/** Control URL of all sample members; nothing listens there. */
const unreachableUrl = 'http://127.0.0.1:9'

export function sampleMembers (size: FleetSize): readonly Member[] {
  const createMember = (role: Member['role'], number: number): Member => ({
    id: `${role}-${number}`,
    incarnation: createHash('md5').update(`${role}${number}`).digest('hex'),
    role,
    vm: `vm-${role}-${number}`,
    failureDomain: failureDomains[number % failureDomains.length]!,
    controlUrl: unreachableUrl,
    ...(role === 'endpoint' ? { service: `service-${number % size.services}`, version: 'v1' } : {}),
    leaving: false
  })
  return [
    ...Array.from({ length: size.routers }, (_, number) => createMember('router', number)),
    ...Array.from({ length: size.endpoints }, (_, number) => createMember('endpoint', number))
  ]
}

export function sampleFleetText (services: number): string {
  const service = (number: number) => `  service-${number}:\n    kind: model\n    maxOutputTokens: 512\n    endpointLimit: 8\n    versions:\n      - name: v1\n`
  return `services:\n${Array.from({ length: services }, (_, number) => service(number)).join('')}`
}

export function sampleDirectory (keys: number): ReadonlyArray<Readonly<Record<string, { readonly organisation: string, readonly budget: string }>>> {
  const shards = Array.from({ length: directoryShardCount }, (): Record<string, { organisation: string, budget: string }> => ({}))
  for (let number = 0; number < keys; number++) {
    const hash = createHash('sha256').update(`key ${number}`).digest('hex')
    const organisation = `organisation-${Math.floor(number / budgetsPerOrganisation)}`
    shards[directoryShardOf(hash)]![hash] = { organisation, budget: `${organisation}/budget-${number % budgetsPerOrganisation}` }
  }
  return shards
}

/** Starts the object API stand-in and stores the objects of the fleet. */
export async function startSamplePlatform (size: FleetSize): Promise<ObjectApi> {
  const api = await startObjectApi({ readsPerSecond: 1e6, writesPerSecond: 1e6 })
  const put = (name: string, value: unknown): void => { api.table.write(name, value, 0) }
  for (const [shard, keys] of sampleDirectory(size.keys).entries()) put(directoryDocument(shard), { keys })
  const members = sampleMembers(size)
  for (const failureDomain of failureDomains) {
    put(memberListName(failureDomain), { members: members.filter(member => member.failureDomain === failureDomain) })
  }
  if (size.services > 0) put('config/fleet', { text: sampleFleetText(size.services), appliedBy: 'bench', appliedAtMs: 0 })
  return api
}
