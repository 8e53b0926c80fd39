/** Events of budgets, numbers 1200 to 1299. */
import type { EventDefinitions } from './eventDefinition.ts'

export const budgetEvents = {
  budgetInvariantFailed: { number: 1200, level: 'error', message: 'a write of a budget shard was stopped by an invariant', action: 'Report the detail; the budgets of the shard are not drawn on until it is resolved.' },
  budgetShardMalformed: { number: 1201, level: 'error', message: 'stored budget shard is malformed', action: 'Compare the object with docs/design.md section 4; reservations of its budgets are refused.' },
  budgetWriteFailed: { number: 1202, level: 'warn', message: 'write of a budget shard failed and will be repeated', action: 'none' },
  budgetHolderFenced: { number: 1203, level: 'warn', message: 'slices of this router were closed by another one; it continues under a new incarnation', action: 'Check whether the router was paused or cut off.' },
  budgetReservationOrphaned: { number: 1204, level: 'warn', message: 'a reservation was never settled and counts as wholly spent', action: 'Check whether a router was lost at that time.' },
  budgetReclaimStarted: { number: 1205, level: 'info', message: 'reclaiming the slices of a lost holder', action: 'none' },
  budgetSlicesClosed: { number: 1206, level: 'info', message: 'slices of a lost holder are closed and their unspent tokens are back', action: 'none' },
  budgetSliceSpentWholly: { number: 1207, level: 'warn', message: 'slices of a lost holder count as wholly spent because an endpoint process was lost too', action: 'Compare the billing records of the budgets with their spent tokens.' },
  budgetReclaimDone: { number: 1208, level: 'info', message: 'the reclaim of a lost holder is complete', action: 'none' },
  budgetSlicesNotReturned: { number: 1209, level: 'warn', message: 'graceful shutdown ended before all slices were returned; they will be reclaimed', action: 'none' }
} as const satisfies EventDefinitions
