/** Events of endpoint processes, numbers 1400 to 1499. */
import type { EventDefinitions } from './eventDefinition.ts'

export const endpointEvents = {
  backEndFellOver: { number: 1400, level: 'error', message: 'back end failed: it did not answer a probe, or several requests running there all failed at the same time', action: 'Check the back end on this VM. The endpoint process keeps probing it and accepts calls again when it answers.' },
  backEndRecovered: { number: 1401, level: 'info', message: 'back end answers probes again', action: 'none' },
  endpointOpened: { number: 1402, level: 'info', message: 'endpoint process accepts calls', action: 'none' },
  fencesUnread: { number: 1403, level: 'warn', message: 'fences of lost holders cannot be read from the platform; calls are refused until they are read', action: 'Check the platform. The process retries by itself.' },
  holderFenced: { number: 1404, level: 'warn', message: 'a holder of budget slices was fenced', action: 'none' },
  staleOrderRefused: { number: 1405, level: 'warn', message: 'an order with a stale fencing token was refused', action: 'none' },
  handoverFailed: { number: 1406, level: 'error', message: 'billing records or reservation entries could not be handed over before the process stopped', action: 'Compare the budget slices with the billing records of that hour and report the difference.' },
  recordsLimitReached: { number: 1407, level: 'error', message: 'billing records reached the limit of this process; new calls are refused', action: 'Check that routers can write to the platform.' },
  claimsTakenOver: { number: 1408, level: 'warn', message: 'this process took over claim shards', action: 'none' },
  claimsLost: { number: 1409, level: 'error', message: 'owner and witness of claim shards are lost', action: 'Until the claim retention time has passed, requests whose key is unknown to these shards are answered with the verdict mayHaveRun, except idempotent ones.' },
  crashReportFailed: { number: 1410, level: 'warn', message: 'no router accepted a crash report', action: 'none' }
} as const satisfies EventDefinitions
