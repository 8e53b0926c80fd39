/** Queries and shutdown requests that the administration API sends to other processes of the fleet. */
import { Err, Ok, type Result } from 'ts-results-es'
import type { Documents, Membership } from '@buckthorndrift/coordination'
import { directoryDocument, directoryShardCount } from '@buckthorndrift/policy'
import { createEndpointClient, createRouterClient, type Member } from '@buckthorndrift/protocol'
import { problemOf, refuse, type AdminProblem } from '../shared/problem.ts'

export type HeldVersion =
  | { readonly kind: 'held', readonly version: number }
  | { readonly kind: 'unreachable' }
  /** The process is an endpoint process; these do not report which documents they hold. */
  | { readonly kind: 'notReported' }

export interface ProcessControl {
  /** Returns the version of the fleet text that a process holds, 0 when it has none. A process already known to hold `version` or a later one is not queried again. */
  fleetVersion (memberId: string, version: number): Promise<HeldVersion>
  /** Asks a process to shut down gracefully. */
  drain (memberId: string): Promise<Result<void, AdminProblem>>
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

/** Returns the names and versions of the documents that this process holds. With them, the other process of an exchange sends only newer documents instead of all. */
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

/**
 * Returns the version of the fleet text at the process that sent an exchange response. The response lists only documents
 * whose versions differ. Documents that are newer there come with their value, or only with their version if they do not
 * fit. Documents that are older there come with their version. A fleet text that is not listed has `ownVersion` there.
 */
function fleetVersionIn (response: { readonly digest: Readonly<Record<string, number>>, readonly documents: ReadonlyArray<{ readonly name: string, readonly version: number }> }, ownVersion: number): number {
  return response.documents.find(document => document.name === fleetDocument)?.version ?? response.digest[fleetDocument] ?? ownVersion
}

/** Creates the client, which reaches other processes through their control listeners. */
export function createProcessControl (options: ProcessControlOptions): ProcessControl {
  const { documents, membership, fleetSecret, timeoutMs } = options
  /** Latest known version of the fleet text, by process and incarnation. */
  const knownVersions = new Map<string, number>()

  function findMember (id: string): Member | undefined {
    return [...membership.routers(), ...membership.endpoints()].find(member => member.id === id)
  }

  return {
    async fleetVersion (id, version) {
      const member = findMember(id)
      if (member === undefined) return { kind: 'unreachable' }
      const incarnationKey = `${id}.${member.incarnation}`
      const known = knownVersions.get(incarnationKey)
      // Versions never decrease. A process that has reached `version` is therefore not queried again, however often the caller polls.
      if (known !== undefined && known >= version) return { kind: 'held', version: known }
      if (id === membership.self.id) return { kind: 'held', version: documents.get(fleetDocument)?.version ?? 0 }
      if (member.role === 'endpoint') return { kind: 'notReported' }
      try {
        const client = createRouterClient({ url: member.controlUrl, fleetSecret, timeoutMs })
        const digest = digestOf(documents, membership)
        const held = fleetVersionIn(await client.documents.exchange.mutate({ digest, documents: [] }), digest[fleetDocument] ?? 0)
        // Entries of process incarnations that no longer exist would accumulate. Clearing the map costs one more call per process.
        if (knownVersions.size >= maxKnownVersions) knownVersions.clear()
        knownVersions.set(incarnationKey, held)
        return { kind: 'held', version: held }
      } catch {
        return { kind: 'unreachable' }
      }
    },

    async drain (id) {
      const member = findMember(id)
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
