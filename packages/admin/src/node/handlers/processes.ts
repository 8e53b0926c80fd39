/** Handlers of the operations on services, processes and rollouts. */
import { Ok } from 'ts-results-es'
import { z } from 'zod'
import { parseFleetText, type FleetConfig, type ServiceConfig } from '@buckthorndrift/policy'
import type { Member } from '@buckthorndrift/protocol'
import type { OutputOf } from '../../shared/operations.ts'
import { fleetDocument } from './fleet.ts'
import type { AdminServices, Handlers } from './handlers.ts'

/** Fields of the stored rollout state that the API returns. */
const rolloutSchema = z.object({
  baseline: z.string(),
  target: z.string(),
  targetShare: z.number(),
  phase: z.object({ kind: z.enum(['moving', 'done', 'rolledBack']), reason: z.string().optional() }),
  startedAtMs: z.number(),
  moveByMs: z.number().optional(),
  holder: z.string()
})

const storedTextSchema = z.object({ text: z.string() })

function serviceStatusOf (service: ServiceConfig, endpoints: readonly Member[]): OutputOf<'listServices'>['items'][number] {
  return {
    name: service.name,
    kind: service.kind,
    dependsOn: [...service.dependsOn],
    endpointLimit: service.endpointLimit,
    versions: service.versions.map(({ name, moveByMs }) => {
      const versionEndpoints = endpoints.filter(member => member.service === service.name && member.version === name)
      return { name, ...(moveByMs === undefined ? {} : { moveByMs }), endpoints: versionEndpoints.length, leaving: versionEndpoints.filter(member => member.leaving).length }
    })
  }
}

function memberStatusOf (member: Member, isSuspected: boolean): OutputOf<'listMembers'>['items'][number] {
  const { id, incarnation, role, vm, failureDomain, service, version, leaving } = member
  return {
    id,
    incarnation,
    role,
    vm,
    failureDomain,
    ...(service === undefined ? {} : { service }),
    ...(version === undefined ? {} : { version }),
    state: leaving ? 'leaving' : isSuspected ? 'suspected' : 'live'
  }
}

export function createProcessHandlers (services: AdminServices): Pick<Handlers, 'listServices' | 'listMembers' | 'drainMember' | 'listRollouts'> {
  const { documents, membership, processes } = services

  /** Parses the fleet text that this process holds; `undefined` when there is none or it is invalid. */
  function readFleetConfig (): FleetConfig | undefined {
    const stored = storedTextSchema.safeParse(documents.get(fleetDocument)?.value)
    const parsed = stored.success ? parseFleetText(stored.data.text) : undefined
    return parsed?.isOk() === true ? parsed.value : undefined
  }

  return {
    async listServices () {
      const endpoints = membership.endpoints()
      return Ok({ items: Object.values(readFleetConfig()?.services ?? {}).map(service => serviceStatusOf(service, endpoints)) })
    },

    async listMembers () {
      const members = [...membership.routers(), ...membership.endpoints()]
      return Ok({ items: members.map(member => memberStatusOf(member, membership.isSuspected(member.id))) })
    },

    async drainMember ({ member }, operator) {
      const drained = await processes.drain(member)
      if (drained.isOk()) services.log.event('drainRequested', { member, operator: operator.name })
      return drained.map(() => ({ member }))
    },

    async listRollouts () {
      return Ok({
        items: Object.keys(readFleetConfig()?.services ?? {}).flatMap(service => {
          const document = documents.get(`rollouts/${service}`)
          const state = rolloutSchema.safeParse(document?.value)
          if (document === undefined || !state.success) return []
          const { phase, ...rest } = state.data
          return [{ service, documentVersion: document.version, ...rest, phase: phase.kind, ...(phase.reason === undefined ? {} : { reason: phase.reason }) }]
        })
      })
    }
  }
}
