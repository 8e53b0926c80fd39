/** Writes the grant of this router to the ledger of one organisation, and closes the grants of earlier processes of its VM. */
import type { Log } from '@buckthorndrift/kernel'
import { isClosingDue, sumOtherHolders, withClosedHolders, withGrant, withLender, type BudgetSlice, type Ledger, type LenderEntry } from '@buckthorndrift/policy'
import type { StoreFailure } from '../shared/store.ts'
import type { LedgerObject } from './ledgerObject.ts'
import type { Predecessors } from './predecessors.ts'

export interface GrantWriterOptions {
  readonly organisation: string
  readonly holder: string
  readonly log: Log
  readonly slice: BudgetSlice
  readonly ledgerObject: LedgerObject
  readonly predecessors: Pick<Predecessors, 'close'>
  prepaidTokens (): number
  /** Lent tokens that the borrowers have not used. */
  lentIdleTokens (): number
  /** The lender to write, given the one in the ledger. */
  nextLender (current: LenderEntry | undefined): LenderEntry | undefined
  /** Whether tokens are granted for each request separately. */
  isNearlyExhausted (): boolean
}

export class GrantWriter {
  readonly #options: GrantWriterOptions

  constructor (options: GrantWriterOptions) {
    this.#options = options
  }

  /** Tokens granted to this router that are spent or reserved. Lent tokens that the borrowers have not used are not included. */
  get publishedTokens (): number {
    return Math.max(0, this.#options.slice.ownCommittedTokens - this.#options.lentIdleTokens())
  }

  /** Writes a new grant of this router to the ledger. */
  async write (grantedTokens: number): Promise<StoreFailure | undefined> {
    const { holder, slice, ledgerObject, nextLender, isNearlyExhausted } = this.#options
    const grant = { grantedTokens, committedTokens: Math.min(grantedTokens, this.publishedTokens) }
    // Returned tokens must not be spent while the write is in flight.
    if (grantedTokens < slice.ownTokens) slice.setOwnTokens(grantedTokens)
    const failure = await ledgerObject.write(withLender(withGrant(this.#withClosedPredecessors(), holder, grant), nextLender(this.#withClosedPredecessors().lender)))
    if (failure === undefined) slice.setFilledTokens(isNearlyExhausted() ? 0 : slice.idleTokens)
    return failure
  }

  /** Logs that the slice has changed, with the figures that decided it. */
  logChange (grantedBeforeTokens: number, unassignedTokens: number, calls: number): void {
    const { organisation, log, slice: { grantedTokens, committedTokens }, ledgerObject } = this.#options
    log.event('budgetSliceChanged', { organisation, grantedBeforeTokens, grantedTokens, committedTokens, unassignedTokens, ledgerRevision: ledgerObject.revision ?? null, calls })
  }

  /** Stores which tokens of earlier processes of this VM are free again, and which are lost. Returns whether nothing is left to store. */
  async closePredecessors (): Promise<boolean> {
    const { holder, slice, ledgerObject, prepaidTokens } = this.#options
    if (ledgerObject.revision === undefined && await ledgerObject.read() !== undefined) return false
    const before = sumOtherHolders(ledgerObject.ledger, holder)
    const after = sumOtherHolders(this.#withClosedPredecessors(), holder)
    return !isClosingDue(before, after, prepaidTokens()) || await this.write(slice.ownTokens) === undefined
  }

  /** The known ledger with the grants of earlier processes of this VM closed. */
  #withClosedPredecessors (): Ledger {
    const { organisation, ledgerObject, predecessors } = this.#options
    return withClosedHolders(ledgerObject.ledger, (holder, grant) => predecessors.close(organisation, holder, grant))
  }
}
