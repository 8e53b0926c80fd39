/** One organisation's ledger object in the store, as this router last saw it. */
import type { Log, TimerService } from '@buckthorndrift/kernel'
import { emptyLedger, ledgerSchema, type Ledger } from '@buckthorndrift/policy'
import type { FleetStore, StoredObject, StoreFailure } from '../shared/store.ts'

export interface LedgerObjectOptions {
  readonly organisation: string
  readonly store: FleetStore
  readonly timers: TimerService
  readonly log: Log
  /** Called whenever the ledger was read, written or shown by a conflict. */
  readonly onLearned: () => void
}

export class LedgerObject {
  readonly #options: LedgerObjectOptions
  #ledger: Ledger = emptyLedger
  /** Revision of the object; 0 when there is none, `undefined` when it has to be read. */
  #revision: number | undefined
  /** Revision that a write without an answer expected; the write may still take effect while the object is at it. */
  #uncertainRevision: number | undefined
  #learnedMs: number | undefined
  #refreshedMs: number | undefined

  constructor (options: LedgerObjectOptions) {
    this.#options = options
  }

  get ledger (): Ledger {
    return this.#ledger
  }

  get revision (): number | undefined {
    return this.#revision
  }

  /** Time since the store told the newest state. */
  get ageMs (): number {
    return this.#nowMs() - (this.#learnedMs ?? 0)
  }

  /** Time since the store told any state, also one that may have been old. */
  get refreshAgeMs (): number {
    return this.#nowMs() - Math.max(this.#learnedMs ?? 0, this.#refreshedMs ?? 0)
  }

  /** Whether a write that got no answer may still take effect. */
  get isUncertain (): boolean {
    return this.#uncertainRevision !== undefined && (this.#revision === undefined || this.#revision === this.#uncertainRevision)
  }

  /** Whether any state of the ledger was seen. */
  get wasSeen (): boolean {
    return this.#learnedMs !== undefined || this.#refreshedMs !== undefined
  }

  /** Takes a state that may be old; one that is known already is never replaced. */
  show (object: StoredObject): void {
    if (this.wasSeen) return
    this.#refreshedMs = this.#nowMs()
    this.#take(object)
  }

  /** Reads the newest state. */
  async read (): Promise<StoreFailure | undefined> {
    const answer = await this.#options.store.read('budgets', this.#options.organisation)
    if (answer.isOk()) {
      this.#learn(answer.value)
      return undefined
    }
    if (answer.error.kind !== 'notFound') return answer.error
    this.#revision = 0
    this.#learnedMs = this.#nowMs()
    return undefined
  }

  /** Reads a state that may be old, at a lower price; one that is older than the known state changes nothing. */
  async refresh (): Promise<StoreFailure | undefined> {
    const answer = await this.#options.store.read('budgets', this.#options.organisation, { mayBeStale: true })
    if (answer.isErr() && answer.error.kind !== 'notFound') return answer.error
    this.#refreshedMs = this.#nowMs()
    if (answer.isOk() && this.#revision !== undefined && answer.value.revision > this.#revision) this.#take(answer.value)
    return undefined
  }

  /** Writes the ledger if the object is still at the known revision. */
  async write (value: Ledger): Promise<StoreFailure | undefined> {
    const { store, organisation } = this.#options
    const expected = this.#revision!
    const answer = expected === 0
      ? await store.create('budgets', organisation, value)
      : await store.replace('budgets', organisation, value, expected)
    if (answer.isOk()) {
      this.#learn(answer.value)
      return undefined
    }
    if (answer.error.kind === 'unavailable' && answer.error.mayHaveApplied) this.#uncertainRevision = expected
    this.#revision = undefined
    if (answer.error.kind === 'conflict' && answer.error.object !== undefined) this.#learn(answer.error.object)
    return answer.error
  }

  #nowMs (): number {
    return this.#options.timers.monotonicMs()
  }

  #learn (object: StoredObject): void {
    this.#learnedMs = this.#nowMs()
    this.#take(object)
  }

  #take (object: StoredObject): void {
    const parsed = ledgerSchema.safeParse(object.value)
    if (!parsed.success) {
      this.#options.log.event('ledgerUnreadable', { organisation: this.#options.organisation, revision: object.revision })
      this.#revision = undefined
      return
    }
    this.#ledger = parsed.data
    this.#revision = object.revision
    if (this.#uncertainRevision !== object.revision) this.#uncertainRevision = undefined
    this.#options.onLearned()
  }
}
