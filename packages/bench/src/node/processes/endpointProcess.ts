/** The real endpoint process with a platform in memory. */
import { resolveSettings, SystemTimers } from '@buckthorndrift/kernel'
import { endpointSettings, startEndpoint } from '@buckthorndrift/endpoint'
import { fleetSecret, version, type Role, type Started } from './messages.ts'
import { platformFakes } from './platformFakes.ts'

const limit = '4000'

/** Starts the endpoint process in front of a back end. */
export async function startBenchEndpoint (role: Extract<Role, { kind: 'endpoint' }>): Promise<Omit<Started, 'kind'>> {
  const { id, service, backEndUrl, backEndKind } = role
  const settings = resolveSettings(endpointSettings, {
    environment: {},
    flags: {
      id, vm: id, failureDomain: 'd0', service, version, backEndUrl, backEndKind, fleetSecret, platformUrl: 'http://127.0.0.1:9', backEndLimit: limit, queueLimit: limit
    }
  })
  if (settings.isErr()) throw new Error(settings.error.join('; '))
  const { self } = await startEndpoint({ settings: settings.value, timers: new SystemTimers(), platform: member => [platformFakes(member, [])] })
  return { url: self.controlUrl, member: self }
}
