/** Dependencies that all ledgers of a process share. */
import type { Log, TimerService } from '@buckthorndrift/kernel'
import type { FleetStore } from '../shared/store.ts'
import type { StoreOutage } from '../shared/storeOutage.ts'
import type { LoanClient } from './loanClient.ts'

export interface LedgerOptions {
  readonly store: FleetStore
  readonly timers: TimerService
  readonly log: Log
  /** Holder id of this process: `<node>.<incarnation>`, unique for each start. */
  readonly holder: string
  readonly nodeName: string
  readonly random: () => number
  /** Shared by all ledgers of the process. */
  readonly outage: StoreOutage
  /** Loan address of this router and client for loans from others; without it, each router writes the ledgers itself. */
  readonly loans: { readonly address: string, readonly client: LoanClient } | undefined
}
