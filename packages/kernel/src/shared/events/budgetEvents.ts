/** Events of budgets, numbers 1200 to 1299. */
import type { EventDefinitions } from './eventDefinition.ts'

export const budgetEvents = {
  budgetInvariantFailed: { number: 1200, level: 'error', message: 'an update of a budget shard would have violated an invariant and was not written', action: 'Report the detail. Until this is resolved, no further tokens are drawn from the budgets of the shard.' },
  budgetShardMalformed: { number: 1201, level: 'error', message: 'stored budget shard is malformed', action: 'Compare the object with docs/design.md section 4. Until it is repaired, reservations from its budgets are refused.' },
  budgetWriteFailed: { number: 1202, level: 'warn', message: 'writing a budget shard failed; the write will be retried', action: 'none' },
  budgetHolderFenced: { number: 1203, level: 'warn', message: 'another router fenced the budget slices of this router; it continues under a new holder name', action: 'Check whether this router was paused or cut off from the network.' },
  budgetReservationOrphaned: { number: 1204, level: 'warn', message: 'a reservation was never settled and is counted as fully spent', action: 'Check whether a router was lost at that time.' },
  budgetReclaimStarted: { number: 1205, level: 'info', message: 'started to reclaim the budget slices of a lost holder', action: 'none' },
  budgetSlicesClosed: { number: 1206, level: 'info', message: 'budget slices of a lost holder were closed and their unspent tokens returned to the budgets', action: 'none' },
  budgetSliceSpentWholly: { number: 1207, level: 'warn', message: 'budget slices of a lost holder are counted as fully spent because an endpoint process was lost too', action: 'Compare the billing records of these budgets with their spent tokens.' },
  budgetReclaimDone: { number: 1208, level: 'info', message: 'finished reclaiming the budget slices of a lost holder', action: 'none' },
  budgetSlicesNotReturned: { number: 1209, level: 'warn', message: 'graceful shutdown ended before all budget slices were returned; they will be reclaimed', action: 'none' }
} as const satisfies EventDefinitions
