/** What the ledgers of a process share. */
import type { Log, TimerService } from '@buckthorndrift/kernel'
import type { FleetStore } from '../shared/store.ts'
import type { StoreOutage } from '../shared/storeOutage.ts'
import type { LoanClient } from './loanClient.ts'

export interface LedgerOptions {
  readonly store: FleetStore
  readonly timers: TimerService
  readonly log: Log
  /** `<node>.<incarnation>`, unique for each start of a process. */
  readonly holder: string
  readonly nodeName: string
  readonly random: () => number
  /** Shared by all ledgers of the process. */
  readonly outage: StoreOutage
  /** Where other routers borrow from this one; without it, each router writes the ledgers itself. */
  readonly loans: { readonly address: string, readonly client: LoanClient } | undefined
}
