/** Runs the real endpoint process with an in-memory platform. */
import { resolveSettings, SystemTimers } from '@buckthorndrift/kernel'
import { endpointSettings, startEndpoint } from '@buckthorndrift/endpoint'
import { fleetSecret, version, type Role, type StartedMessage } from './messages.ts'
import { platformFakes } from './platformFakes.ts'

/** High enough that the bench never reaches the back end limit or the queue limit. */
const requestLimit = '4000'

/** Starts the endpoint process in front of a back end. */
export async function startBenchEndpoint (role: Extract<Role, { kind: 'endpoint' }>): Promise<Omit<StartedMessage, 'kind'>> {
  const { id, service, backEndUrl, backEndKind } = role
  const settings = resolveSettings(endpointSettings, {
    environment: {},
    flags: {
      id, vm: id, failureDomain: 'd0', service, version, backEndUrl, backEndKind, fleetSecret, platformUrl: 'http://127.0.0.1:9', backEndLimit: requestLimit, queueLimit: requestLimit
    }
  })
  if (settings.isErr()) throw new Error(settings.error.join('; '))
  const { self } = await startEndpoint({ settings: settings.value, timers: new SystemTimers(), platform: member => [platformFakes(member, [])] })
  return { url: self.controlUrl, member: self }
}
