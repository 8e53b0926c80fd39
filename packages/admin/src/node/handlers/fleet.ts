/** Handlers of the operations on the fleet text. */
import { Ok, type Result } from 'ts-results-es'
import { z } from 'zod'
import { diffFleet, parseFleetText, type FleetConfig, type StoredFleetText } from '@buckthorndrift/policy'
import type { Member } from '@buckthorndrift/protocol'
import type { OutputOf } from '../../shared/operations.ts'
import { refuse, storeProblem, type AdminProblem } from '../../shared/problem.ts'
import type { AdminServices, Handlers } from './handlers.ts'

/** Maximum number of processes that are queried in parallel. */
const maxConcurrentCalls = 32

/** Name of the document that holds the fleet text. */
export const fleetDocument = 'config/fleet'

const storedTextSchema = z.object({ text: z.string(), appliedBy: z.string(), appliedAtMs: z.number() })

interface CurrentFleet extends StoredFleetText {
  readonly version: number
  /** `undefined` when there is no text or it cannot be parsed. */
  readonly config: FleetConfig | undefined
}

/** Reads the text from the platform, because the copy that this process holds may be older. */
async function readCurrentFleet (services: AdminServices): Promise<Result<CurrentFleet, AdminProblem>> {
  const read = await services.documents.refresh(fleetDocument)
  return read.mapErr(storeProblem).map(document => {
    const stored = storedTextSchema.safeParse(document?.value)
    const value = stored.success ? stored.data : { text: '', appliedBy: '', appliedAtMs: 0 }
    const config = parseFleetText(value.text)
    return { ...value, version: document?.version ?? 0, config: config.isOk() ? config.value : undefined }
  })
}

/** Writes the text. When the reply is lost, reads the text again to find out whether the write took effect. */
async function writeFleetText (services: AdminServices, stored: StoredFleetText, expectedVersion: number): Promise<Result<number, AdminProblem>> {
  const written = await services.store.write(fleetDocument, stored, expectedVersion)
  if (written.isOk()) return written
  const failure = written.error
  if (failure.kind === 'conflict') return refuseConflict(expectedVersion, failure.version)
  if (failure.kind === 'rejected' || !failure.mayHaveApplied) return written.mapErr(storeProblem)
  const present = await readCurrentFleet(services)
  if (present.isErr()) return refuse('unavailable', `${present.error.detail}; the text may have been applied: read it before applying it again`, { mayHaveApplied: true })
  const { version, text, appliedBy, appliedAtMs } = present.value
  const isOwnWrite = text === stored.text && appliedBy === stored.appliedBy && appliedAtMs === stored.appliedAtMs
  if (isOwnWrite) return Ok(version)
  return version === expectedVersion
    ? refuse('unavailable', 'the platform did not confirm the write, which may still take effect: read the text before applying it again', { mayHaveApplied: true })
    : refuseConflict(expectedVersion, version)
}

function refuseConflict (expected: number, version: number): Result<never, AdminProblem> {
  return refuse('conflict', `the fleet text is at version ${version}, not ${expected}: another operator applied a text first; read it, merge your change and apply again`, { version })
}

type Follower = OutputOf<'listFollowers'>['followers'][number]

async function followerOf (services: AdminServices, { id, role }: Member, version: number): Promise<Follower> {
  const held = await services.processes.fleetVersion(id, version)
  if (held.kind !== 'held') return { id, role, version: null, state: held.kind }
  return { id, role, version: held.version, state: held.version >= version ? 'following' : 'behind' }
}

export function createFleetHandlers (services: AdminServices): Pick<Handlers, 'readFleet' | 'checkFleet' | 'applyFleet' | 'listFollowers'> {
  const parseNewText = (text: string, inForce: FleetConfig | undefined) => parseFleetText(text, { nowMs: services.timers.nowMs(), inForce })
  return {
    async readFleet () {
      const present = await readCurrentFleet(services)
      return present.map(({ version, text, appliedBy, appliedAtMs }) => ({ version, text, appliedBy, appliedAtMs }))
    },

    async checkFleet ({ text }) {
      const present = await readCurrentFleet(services)
      return present.map(({ version, config }) => {
        const parsed = parseNewText(text, config)
        return parsed.isErr()
          ? { version, problems: [...parsed.error], changes: [] }
          : { version, problems: [], changes: [...diffFleet(config, parsed.value)] }
      })
    },

    async applyFleet ({ text, expectedVersion }, operator) {
      const present = await readCurrentFleet(services)
      if (present.isErr()) return present
      if (present.value.version !== expectedVersion) return refuseConflict(expectedVersion, present.value.version)
      const parsed = parseNewText(text, present.value.config)
      if (parsed.isErr()) return refuse('invalidFleetText', 'correct the listed problems; nothing was changed', { problems: [...parsed.error] })
      const stored: StoredFleetText = { text, appliedBy: operator.name, appliedAtMs: services.timers.nowMs() }
      const written = await writeFleetText(services, stored, expectedVersion)
      if (written.isErr()) return written
      services.documents.learn({ name: fleetDocument, version: written.value, value: stored })
      services.log.event('fleetTextApplied', { version: written.value, operator: operator.name })
      return Ok({ version: written.value, changes: [...diffFleet(present.value.config, parsed.value)] })
    },

    async listFollowers () {
      const version = services.documents.get(fleetDocument)?.version ?? 0
      const members = [...services.membership.routers(), ...services.membership.endpoints()]
      const followers: Follower[] = []
      for (let batchStart = 0; batchStart < members.length; batchStart += maxConcurrentCalls) {
        const batch = members.slice(batchStart, batchStart + maxConcurrentCalls)
        followers.push(...await Promise.all(batch.map(member => followerOf(services, member, version))))
      }
      return Ok({ version, followers })
    }
  }
}
