/** Events of the caller path, numbers 1300 to 1399. */
import type { EventDefinitions } from './eventDefinition.ts'

export const routerEvents = {
  controlListening: { number: 1300, level: 'info', message: 'control listener is open', action: 'none' },
  callersListening: { number: 1301, level: 'info', message: 'caller listener is open', action: 'none' },
  callerRequestFailed: { number: 1302, level: 'error', message: 'handling of a caller request failed', action: 'Report the error text; the caller was told that the request may have run.' },
  refusalNotAccounted: { number: 1303, level: 'error', message: 'a refusal could not be accounted for', action: 'Report the error text; the caller has the refusal with an id that begins with unaccounted.' },
  answerReattached: { number: 1304, level: 'debug', message: 'connection to an endpoint broke or went silent; re-attaching to the answer', action: 'none' },
  crashReported: { number: 1305, level: 'warn', message: 'an endpoint reported a crash', action: 'Look at the log of the back end; the contents that were running are suspects.' },
  endpointDied: { number: 1306, level: 'warn', message: 'an endpoint process died while it had requests', action: 'Look at the VM of the endpoint; the contents that were running are suspects.' }
} as const satisfies EventDefinitions
