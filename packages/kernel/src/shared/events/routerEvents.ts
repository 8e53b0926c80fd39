/** Events of the router's listeners and of forwarding caller requests to endpoints, numbers 1300 to 1399. */
import type { EventDefinitions } from './eventDefinition.ts'

export const routerEvents = {
  controlListening: { number: 1300, level: 'info', message: 'control listener is open', action: 'none' },
  callersListening: { number: 1301, level: 'info', message: 'caller listener is open', action: 'none' },
  callerRequestFailed: { number: 1302, level: 'error', message: 'handling a caller request failed unexpectedly', action: 'Report the error text. The caller was told that the request may have run.' },
  refusalNotAccounted: { number: 1303, level: 'error', message: 'a refusal could not be counted in a refusal account', action: 'Report the error text. The caller received the refusal with an id that begins with unaccounted.' },
  answerReattached: { number: 1304, level: 'debug', message: 'connection to an endpoint broke or was silent; reattaching to the response', action: 'none' },
  crashReported: { number: 1305, level: 'warn', message: 'received a crash report about an endpoint', action: 'Check the log of the back end. Content that was running in two crashes is refused.' },
  endpointDied: { number: 1306, level: 'warn', message: 'an endpoint process died while it had requests', action: 'Check the VM of the endpoint. Content that was running in two crashes is refused.' }
} as const satisfies EventDefinitions
