/** The ledger object of one organisation in the store, and its last state known to this router. */
import type { Log, TimerService } from '@buckthorndrift/kernel'
import { emptyLedger, isSameLedger, ledgerSchema, mergeLedgers, type Ledger } from '@buckthorndrift/policy'
import type { FleetStore, StoredObject, StoreFailure } from '../shared/store.ts'

export interface LedgerObjectOptions {
  readonly organisation: string
  readonly store: FleetStore
  readonly timers: TimerService
  readonly log: Log
  /** Called whenever a state of the ledger was applied: after a read, a write or a conflict that returned the object. */
  readonly onUpdate: () => void
}

/** Time within which routers that reach the store notice a restore and store their grants again. */
const restoreSettleMs = 2500

export class LedgerObject {
  readonly #options: LedgerObjectOptions
  #ledger: Ledger = emptyLedger
  /** Revision of the object; 0 when the object does not exist, `undefined` when it has to be read. */
  #revision: number | undefined
  /** Expected revision of a write that got no response. The write may still take effect while the object is at this revision. */
  #uncertainRevision: number | undefined
  #latestMs: number | undefined
  #refreshedMs: number | undefined
  /** State known before the store was restored from a copy, until the merged state is stored. */
  #beforeRestore: Ledger | undefined
  #needsRepair = false
  #restoredMs = -Infinity

  constructor (options: LedgerObjectOptions) {
    this.#options = options
    options.store.onRestored(() => { this.#onRestored() })
  }

  /** Whether the store was restored and may lack grants that this router knows of. */
  get needsRepair (): boolean {
    return this.#needsRepair
  }

  /** Whether other routers may still have to store their grants again after a restore of the store. Until then no grant may grow. */
  get isSettling (): boolean {
    return this.#nowMs() - this.#restoredMs < restoreSettleMs
  }

  #onRestored (): void {
    this.#restoredMs = this.#nowMs()
    if (!this.hasState) return
    this.#beforeRestore = this.#ledger
    this.#needsRepair = true
    this.#revision = undefined
  }

  get ledger (): Ledger {
    return this.#ledger
  }

  get revision (): number | undefined {
    return this.#revision
  }

  /** Time since the store last returned the newest state, in ms. */
  get ageMs (): number {
    return this.#nowMs() - (this.#latestMs ?? 0)
  }

  /** Time since the store last returned any state, including a possibly stale one, in ms. */
  get refreshAgeMs (): number {
    return this.#nowMs() - Math.max(this.#latestMs ?? 0, this.#refreshedMs ?? 0)
  }

  /** Whether a write that got no response may still take effect. */
  get hasUncertainWrite (): boolean {
    return this.#uncertainRevision !== undefined && (this.#revision === undefined || this.#revision === this.#uncertainRevision)
  }

  /** Whether the store has returned any state of the ledger. */
  get hasState (): boolean {
    return this.#latestMs !== undefined || this.#refreshedMs !== undefined
  }

  /** Applies a possibly stale state, unless a state is already known. */
  initialise (object: StoredObject): void {
    if (this.hasState) return
    this.#refreshedMs = this.#nowMs()
    this.#apply(object)
  }

  /** Reads the newest state. The first read may return a stale one, which costs less: it names the lender, and a write based on it fails. */
  async load (): Promise<StoreFailure | undefined> {
    if (this.hasState) return await this.read()
    const result = await this.#options.store.read('budgets', this.#options.organisation, { mayBeStale: true })
    if (result.isErr()) return result.error.kind === 'notFound' ? await this.read() : result.error
    this.initialise(result.value)
    return undefined
  }

  /** Reads the newest state. */
  async read (): Promise<StoreFailure | undefined> {
    const result = await this.#options.store.read('budgets', this.#options.organisation)
    if (result.isOk()) {
      this.#applyLatest(result.value)
      return undefined
    }
    if (result.error.kind !== 'notFound') return result.error
    this.#revision = 0
    this.#latestMs = this.#nowMs()
    return undefined
  }

  /** Reads a possibly stale state, which costs the store less than `read`. A state older than the known one is ignored. */
  async refresh (): Promise<StoreFailure | undefined> {
    const result = await this.#options.store.read('budgets', this.#options.organisation, { mayBeStale: true })
    if (result.isErr() && result.error.kind !== 'notFound') return result.error
    this.#refreshedMs = this.#nowMs()
    if (result.isOk() && this.#revision !== undefined && result.value.revision > this.#revision) this.#apply(result.value)
    return undefined
  }

  /** Compare-and-set: writes the ledger if the object is still at the known revision. */
  async write (value: Ledger): Promise<StoreFailure | undefined> {
    const { store, organisation } = this.#options
    const expected = this.#revision!
    const result = expected === 0
      ? await store.create('budgets', organisation, value)
      : await store.replace('budgets', organisation, value, expected)
    if (result.isOk()) {
      this.#beforeRestore = undefined
      this.#needsRepair = false
      this.#applyLatest(result.value)
      return undefined
    }
    if (result.error.kind === 'unavailable' && result.error.mayHaveApplied) this.#uncertainRevision = expected
    this.#revision = undefined
    if (result.error.kind === 'conflict' && result.error.object !== undefined) this.#applyLatest(result.error.object)
    return result.error
  }

  #nowMs (): number {
    return this.#options.timers.monotonicMs()
  }

  #applyLatest (object: StoredObject): void {
    this.#latestMs = this.#nowMs()
    this.#apply(object)
  }

  #apply (object: StoredObject): void {
    const parsed = ledgerSchema.safeParse(object.value)
    if (!parsed.success) {
      this.#options.log.event('ledgerUnreadable', { organisation: this.#options.organisation, revision: object.revision })
      this.#revision = undefined
      return
    }
    this.#ledger = this.#beforeRestore === undefined ? parsed.data : mergeLedgers(this.#beforeRestore, parsed.data)
    this.#needsRepair = this.#beforeRestore !== undefined && !isSameLedger(this.#ledger, parsed.data)
    if (!this.#needsRepair) this.#beforeRestore = undefined
    this.#revision = object.revision
    if (this.#uncertainRevision !== object.revision) this.#uncertainRevision = undefined
    this.#options.onUpdate()
  }
}
