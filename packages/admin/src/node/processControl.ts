/** Questions and orders of the administration API to other processes of the fleet. */
import { Err, Ok, type Result } from 'ts-results-es'
import type { Documents, Membership } from '@buckthorndrift/coordination'
import { directoryDocument, directoryShardCount } from '@buckthorndrift/policy'
import { createEndpointClient, createRouterClient, type Member } from '@buckthorndrift/protocol'
import { problemOf, refuse, type AdminProblem } from '../shared/problem.ts'

export type HeldVersion =
  | { readonly kind: 'held', readonly version: number }
  | { readonly kind: 'unreachable' }
  /** The process does not tell which documents it holds. */
  | { readonly kind: 'notReported' }

export interface ProcessControl {
  /** Version of the fleet text at a process, 0 when it has none. A process that is known to hold `version` is not asked again. */
  fleetVersion (member: string, version: number): Promise<HeldVersion>
  /** Asks a process to shut down gracefully. */
  drain (member: string): Promise<Result<void, AdminProblem>>
}

export interface ProcessControlOptions {
  readonly documents: Documents
  readonly membership: Membership
  readonly fleetSecret: string
  readonly timeoutMs: number
  /** Starts the graceful shutdown of this process. */
  drainSelf (): void
}

const fleetDocument = 'config/fleet'
const maxKnownVersions = 10_000

/** Names of the documents held here, so that an exchange returns versions and not all documents. */
function digestOf (documents: Documents, membership: Membership): Readonly<Record<string, number>> {
  const members = [...membership.routers(), ...membership.endpoints()]
  const names = [
    fleetDocument, 'fences', 'crashes',
    ...Array.from({ length: directoryShardCount }, (_, shard) => directoryDocument(shard)),
    ...members.flatMap(({ failureDomain, service }) => [`members/${failureDomain}`, ...(service === undefined ? [] : [`claims/${service}`, `rollouts/${service}`])])
  ]
  return Object.fromEntries(names.flatMap(name => {
    const document = documents.get(name)
    return document === undefined ? [] : [[name, document.version]]
  }))
}

/** An answer names only documents that differ: newer ones with their value or their version, older ones with their version. */
function versionIn (answer: { readonly digest: Readonly<Record<string, number>>, readonly documents: ReadonlyArray<{ readonly name: string, readonly version: number }> }, own: number): number {
  return answer.documents.find(document => document.name === fleetDocument)?.version ?? answer.digest[fleetDocument] ?? own
}

/** Reaches processes through their control listeners. */
export function createProcessControl (options: ProcessControlOptions): ProcessControl {
  const { documents, membership, fleetSecret, timeoutMs } = options
  /** Highest known version by process and incarnation. */
  const knownVersions = new Map<string, number>()

  function find (id: string): Member | undefined {
    return [...membership.routers(), ...membership.endpoints()].find(member => member.id === id)
  }

  return {
    async fleetVersion (id, version) {
      const member = find(id)
      if (member === undefined) return { kind: 'unreachable' }
      const life = `${id}.${member.incarnation}`
      const known = knownVersions.get(life)
      // Versions never go back, so a poll costs calls only to processes that lag behind.
      if (known !== undefined && known >= version) return { kind: 'held', version: known }
      if (id === membership.self.id) return { kind: 'held', version: documents.get(fleetDocument)?.version ?? 0 }
      if (member.role === 'endpoint') return { kind: 'notReported' }
      try {
        const client = createRouterClient({ url: member.controlUrl, fleetSecret, timeoutMs })
        const digest = digestOf(documents, membership)
        const held = versionIn(await client.documents.exchange.mutate({ digest, documents: [] }), digest[fleetDocument] ?? 0)
        // Processes are replaced all the time; forgetting costs one more call to each.
        if (knownVersions.size >= maxKnownVersions) knownVersions.clear()
        knownVersions.set(life, held)
        return { kind: 'held', version: held }
      } catch {
        return { kind: 'unreachable' }
      }
    },

    async drain (id) {
      const member = find(id)
      if (member === undefined) return refuse('notFound', `there is no process ${id}`)
      if (id === membership.self.id) {
        options.drainSelf()
        return Ok(undefined)
      }
      if (member.role === 'router') return refuse('notSupported', `router ${id} is drained through its own administration listener, or by SIGTERM`)
      try {
        await createEndpointClient({ url: member.controlUrl, fleetSecret, timeoutMs }).lifecycle.drain.mutate()
        return Ok(undefined)
      } catch (error) {
        return Err(problemOf('unavailable', `process ${id} did not answer: ${error instanceof Error ? error.message : String(error)}`, { mayHaveApplied: true }))
      }
    }
  }
}
