/** Dependencies that all ledgers of a process share. */
import type { Log, TimerService } from '@buckthorndrift/kernel'
import type { FleetStore } from '../shared/store.ts'
import type { StoreOutage } from '../shared/storeOutage.ts'
import type { HolderReporter } from './holderReporter.ts'
import type { LoanClient } from './loanClient.ts'
import type { Predecessors } from './predecessors.ts'
import type { StorePeers } from './storePeers.ts'

export interface LedgerOptions {
  readonly store: FleetStore
  readonly timers: TimerService
  readonly log: Log
  /** Holder id of this process: `<node>.<incarnation>`, unique for each start. */
  readonly holder: string
  readonly nodeName: string
  readonly random: () => number
  readonly reporter: Pick<HolderReporter, 'releaseLimit' | 'releaseDelayMs' | 'report'>
  readonly predecessors: Pick<Predecessors, 'close'>
  /** Circuit breaker for the store, shared by all ledgers of the process. */
  readonly outage: StoreOutage
  /** Finds routers that lend to this one while it does not reach the store. If `undefined`, none is asked. */
  readonly storePeers?: Pick<StorePeers, 'current' | 'find' | 'recordFailure'> | undefined
  /** Address at which this router accepts loan requests, and the client for its own loan requests. If `undefined`, this router borrows no tokens and writes the ledgers itself. */
  readonly loans: { readonly address: string, readonly client: LoanClient } | undefined
}
