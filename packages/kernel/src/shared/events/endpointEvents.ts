/** Events of the endpoint process, numbers 1400 to 1499. */
import type { EventDefinitions } from './eventDefinition.ts'

export const endpointEvents = {
  backEndFellOver: { number: 1400, level: 'error', message: 'back end fell over', action: 'Look at the back end on this VM; the process probes it and goes on by itself.' },
  backEndRecovered: { number: 1401, level: 'info', message: 'back end answers again', action: 'none' },
  endpointOpened: { number: 1402, level: 'info', message: 'endpoint process accepts calls', action: 'none' },
  fencesUnread: { number: 1403, level: 'warn', message: 'fences cannot be read from the platform; calls are refused until then', action: 'Check the platform; the process tries again.' },
  holderFenced: { number: 1404, level: 'warn', message: 'holder of slices fenced', action: 'none' },
  staleOrderRefused: { number: 1405, level: 'warn', message: 'order with a stale fencing token refused', action: 'none' },
  handoverFailed: { number: 1406, level: 'error', message: 'state could not be handed over before the process stopped', action: 'Compare slices with billing records for the hour; report the difference.' },
  recordsLimitReached: { number: 1407, level: 'error', message: 'billing records reached their limit; new calls are refused', action: 'Check that routers can write to the platform.' },
  claimsTakenOver: { number: 1408, level: 'warn', message: 'claim shard taken over', action: 'none' },
  claimsLost: { number: 1409, level: 'error', message: 'owner and witness of a claim shard are lost', action: 'Unknown keys of the shard are answered mayHaveRun for the retention time.' },
  crashReportFailed: { number: 1410, level: 'warn', message: 'crash report reached no router', action: 'none' }
} as const satisfies EventDefinitions
