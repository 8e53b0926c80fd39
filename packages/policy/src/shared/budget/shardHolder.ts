/**
 * Holder of budget slices in one shard: a state machine that acquires slices of
 * the shard's budgets, reserves tokens from them and settles the reservations.
 * It does no I/O and reads no clock. Each method returns the effects that the
 * caller must execute, in order.
 */
import { assertNever } from '@buckthorndrift/kernel'
import { assertShardWrite, BudgetInvariantError } from './invariants.ts'
import { holdersOf } from './shard.ts'
import { decideWaiting } from './waitingDecision.ts'
import { HeldBudget, type WaitingReservation } from './heldBudget.ts'
import { Reservations } from './reservations.ts'
import { StoredView } from './storedView.ts'
import { PendingRecalls } from './pendingRecalls.ts'
import { RetryBackoff } from './retryBackoff.ts'
import { planWrite, type WritePlan } from './writePlan.ts'
import type { BudgetLimits } from './limits.ts'
import type { HolderEffect, ReadOutcome, ReserveAnswer, WriteOutcome } from './effects.ts'

type Operation =
  | { readonly kind: 'read', readonly startedMs: number }
  | { readonly kind: 'write', readonly plan: WritePlan, readonly expectedVersion: number, readonly startedMs: number }

export interface HolderOptions {
  /** `<routerId>.<incarnation>`, or `<routerId>.<incarnation>-<number>` for a further holder of the same process. */
  readonly holder: string
  readonly limits: BudgetLimits
  readonly nowMs: number
}

export class ShardHolder {
  readonly holder: string
  readonly #limits: BudgetLimits
  readonly #held = new Map<string, HeldBudget>()
  readonly #reservations = new Reservations()
  readonly #view: StoredView
  #effects: HolderEffect[] = []
  #operation: Operation | undefined
  #state: 'open' | 'draining' | 'fenced' = 'open'
  #isCollector = false
  #lastWriteMs: number
  readonly #backoff: RetryBackoff
  readonly #recalls = new PendingRecalls()

  constructor (options: HolderOptions) {
    this.holder = options.holder
    this.#limits = options.limits
    this.#view = new StoredView(options.holder)
    this.#lastWriteMs = options.nowMs
    this.#backoff = new RetryBackoff(options.limits.retryMs)
  }

  /** Settled sequence that is confirmed to be stored; endpoints may drop entries at or below it. */
  get flushedSeq (): number {
    return this.#view.flushedSeq
  }

  get isFenced (): boolean {
    return this.#state === 'fenced'
  }

  /** True when the holder has no stored slice, no open or waiting reservation and no call to the platform in flight. */
  get isEmpty (): boolean {
    return this.#reservations.openCount === 0 && this.#operation === undefined && !this.#view.isUnresolved &&
      [...this.#held.values()].every(held => !held.hasStoredSlice && held.waiting.length === 0)
  }

  /** Sets whether this router is the shard's collector, to which routers of all failure domains may send reservations. */
  setCollector (isCollector: boolean): void {
    this.#isCollector = isCollector
  }

  /** Requests a reservation. The `answer` effect with the same id is returned here or by a later call. */
  reserve (id: number, budget: string, tokens: number, nowMs: number, waitMs = this.#limits.reserveWaitMs): readonly HolderEffect[] {
    if (this.#state !== 'open') {
      this.#answer(id, { kind: 'unavailable', retryAfterMs: this.#limits.retryMs })
      return this.#takeEffects()
    }
    const held = this.#ensureHeldBudget(budget, nowMs)
    held.recordRequest(tokens, nowMs)
    held.waiting.push({ id, tokens, arrivedMs: nowMs, expiresMs: nowMs + Math.min(waitMs, this.#limits.reserveWaitMs) })
    return this.#advance(nowMs)
  }

  /** Settles a reservation at its actual cost. Idempotent: only the first call counts. */
  settle (budget: string, seq: number, tokens: number, nowMs: number): readonly HolderEffect[] {
    this.#settle(budget, seq, tokens, nowMs)
    return this.#advance(nowMs)
  }

  /** Handles another holder's request to return idle tokens. The `recalled` effect with the same id follows. */
  recall (id: number, budgets: readonly string[], nowMs: number): readonly HolderEffect[] {
    for (const budget of budgets) {
      const held = this.#held.get(budget)
      if (held === undefined) continue
      held.scarceUntilMs = nowMs + this.#limits.scarcityMs
      held.isRecalled = held.hasStoredSlice
    }
    this.#recalls.add(id, budgets)
    return this.#advance(nowMs)
  }

  /** Handles the result of a `recall` effect; `areAllAnswered` is false when a recalled holder could not be reached. */
  recallDone (budgets: readonly string[], areAllAnswered: boolean, nowMs: number): readonly HolderEffect[] {
    for (const budget of budgets) {
      const held = this.#held.get(budget)
      if (held === undefined) continue
      held.isRecalling = false
      held.hasUnreachableHolder = !areAllAnswered
    }
    this.#view.invalidate()
    return this.#advance(nowMs)
  }

  /** Handles the result of a `read` effect. */
  readDone (outcome: ReadOutcome, nowMs: number): readonly HolderEffect[] {
    const operation = this.#operation
    this.#operation = undefined
    if (outcome.kind === 'failed' || operation === undefined) {
      this.#backoff.recordFailure(nowMs)
      return this.#advance(nowMs)
    }
    this.#backoff.recordSuccess()
    if (!this.#view.applyRead(outcome.version, outcome.shard, this.#held, operation.startedMs)) return this.fence()
    this.#effects.push({ kind: 'holdersSeen', holders: [...holdersOf(outcome.shard)] })
    return this.#advance(nowMs)
  }

  writeDone (outcome: WriteOutcome, nowMs: number): readonly HolderEffect[] {
    const operation = this.#operation
    this.#operation = undefined
    if (operation?.kind !== 'write') return this.#advance(nowMs)
    switch (outcome.kind) {
      case 'written':
        this.#backoff.recordSuccess()
        this.#lastWriteMs = nowMs
        this.#view.confirmWrite(operation.plan, outcome.version, this.#held, operation.startedMs)
        break
      // A client that retries a write can get a conflict with its own first attempt, so only the next read shows the result.
      case 'conflict':
      case 'unknown':
        this.#view.markUnresolved(operation.expectedVersion)
        if (outcome.kind === 'unknown') this.#backoff.recordFailure(nowMs)
        break
      case 'refused':
        this.#view.markRefused(this.#held)
        this.#backoff.recordFailure(nowMs)
        break
    }
    return this.#advance(nowMs)
  }

  /** Periodic work: flushes, expires waiting reservations, and settles those that were open for `orphanMs` at their full size. */
  tick (nowMs: number): readonly HolderEffect[] {
    for (const { seq, budget, tokens } of this.#reservations.openedBefore(nowMs - this.#limits.orphanMs)) {
      this.#effects.push({ kind: 'orphan', budget, seq, tokens })
      this.#settle(budget, seq, tokens, nowMs)
    }
    if (this.#operation === undefined && !this.#view.isUnresolved) this.#dropUnused(nowMs)
    return this.#advance(nowMs)
  }

  /** Rejects new reservations and closes each slice once its reservations are settled. */
  drain (nowMs: number): readonly HolderEffect[] {
    if (this.#state === 'open') this.#state = 'draining'
    this.#refuseAllWaiting()
    return this.#advance(nowMs)
  }

  /** Marks the holder as fenced: it reserves and writes nothing more, and the reclaim that fenced it closes its slices. */
  fence (): readonly HolderEffect[] {
    if (this.#state !== 'fenced') this.#effects.push({ kind: 'fenced' })
    this.#state = 'fenced'
    this.#refuseAllWaiting()
    this.#clearRecalls()
    return this.#takeEffects()
  }

  /** Deletes the state of unused budgets. Must not run while a write is in flight or unresolved, because it may open a slice. */
  #dropUnused (nowMs: number): void {
    for (const [budget, held] of this.#held) {
      if (held.isDisposable && nowMs - held.lastUsedMs >= this.#limits.closeIdleMs) this.#held.delete(budget)
    }
  }

  #ensureHeldBudget (budget: string, nowMs: number): HeldBudget {
    const present = this.#held.get(budget)
    if (present !== undefined) return present
    const held = new HeldBudget(nowMs, this.#limits)
    this.#held.set(budget, held)
    return held
  }

  #settle (budget: string, seq: number, tokens: number, nowMs: number): void {
    const settled = this.#reservations.settle(budget, seq, tokens)
    const held = this.#held.get(budget)
    if (settled === undefined || held === undefined) return
    held.openTokens -= settled.reservedTokens
    held.openCount -= 1
    held.settledTokens += settled.tokens
    held.lastUsedMs = nowMs
    held.rate.add(settled.tokens, nowMs)
    for (const covered of settled.covered) this.#ensureHeldBudget(covered.budget, nowMs).coveredTokens += covered.tokens
  }

  #answer (id: number, answer: ReserveAnswer): void {
    this.#effects.push({ kind: 'answer', id, answer })
  }

  #refuseAllWaiting (): void {
    const waiting = [...this.#held.values()].flatMap(held => held.waiting.splice(0))
    for (const { id } of waiting) this.#answer(id, { kind: 'unavailable', retryAfterMs: this.#limits.retryMs })
  }

  #takeEffects (): readonly HolderEffect[] {
    const effects = this.#effects
    this.#effects = []
    return effects
  }

  /** Serves the waiting reservations, then starts the next call to the platform if one is due. */
  #advance (nowMs: number): readonly HolderEffect[] {
    if (this.#state === 'fenced') return this.#takeEffects()
    let needsRead = this.#view.known === undefined && this.#hasReasonToRead()
    for (const [budget, held] of this.#held) needsRead = this.#serveWaiting(budget, held, nowMs) || needsRead
    this.#effects.push(...this.#recalls.takeDone(this.#held))
    if (this.#operation === undefined && this.#backoff.isElapsed(nowMs)) {
      if (needsRead) this.#startRead(nowMs)
      else this.#startWrite(nowMs)
    }
    return this.#takeEffects()
  }

  #hasReasonToRead (): boolean {
    if (!this.#recalls.isEmpty || this.#view.isUnresolved) return true
    return [...this.#held.values()].some(held => held.hasStoredSlice || held.waiting.length > 0)
  }

  /** Answers the waiting reservations that can be granted or refused now. Returns whether the others need a read of the shard. */
  #serveWaiting (budget: string, held: HeldBudget, nowMs: number): boolean {
    if (held.waiting.length === 0) return false
    const remaining: WaitingReservation[] = []
    let needsRead = false
    for (const waiting of held.waiting) {
      if (waiting.tokens <= held.idleTokens) {
        this.#openReservation(budget, held, waiting, nowMs)
        continue
      }
      const step = this.#decide(budget, held, waiting, nowMs)
      if (step === 'read') needsRead = true
      if (step === 'read' || step === 'wait') remaining.push(waiting)
    }
    held.waiting = remaining
    return needsRead
  }

  #openReservation (budget: string, held: HeldBudget, waiting: WaitingReservation, nowMs: number): void {
    const seq = this.#reservations.open(budget, waiting.tokens, nowMs)
    held.openTokens += waiting.tokens
    held.openCount += 1
    this.#answer(waiting.id, { kind: 'reserved', seq, settledSeq: this.#view.flushedSeq })
  }

  /** Decides whether a reservation that exceeds the idle tokens needs a read of the shard or keeps waiting; otherwise answers it. */
  #decide (budget: string, held: HeldBudget, waiting: WaitingReservation, nowMs: number): 'read' | 'wait' | 'answered' {
    const known = this.#view.known
    const decision = decideWaiting({
      holder: this.holder,
      entry: known?.shard.budgets.get(budget),
      asOfMs: known?.asOfMs,
      held,
      waiting,
      isCollector: this.#isCollector,
      limits: this.#limits,
      nowMs
    })
    switch (decision.kind) {
      case 'wait':
      case 'read':
        return decision.kind
      case 'recall':
        held.isRecalling = true
        held.nextRecallMs = nowMs + this.#limits.recallMs
        this.#effects.push({ kind: 'recall', holders: decision.holders, budgets: [budget] })
        return 'wait'
      case 'exhausted':
      case 'unavailable':
        this.#answer(waiting.id, decision)
        return 'answered'
      default:
        return assertNever(decision)
    }
  }

  #startRead (nowMs: number): void {
    this.#operation = { kind: 'read', startedMs: nowMs }
    this.#effects.push({ kind: 'read' })
  }

  #startWrite (nowMs: number): void {
    const known = this.#view.known
    if (known === undefined || !this.#canWriteBeDue(nowMs)) return
    const plan = planWrite({
      holder: this.holder,
      shard: known.shard,
      held: this.#held,
      settledSeq: this.#reservations.settledSeq,
      flushedSeq: this.#view.flushedSeq,
      isCollector: this.#isCollector,
      isDraining: this.#state === 'draining',
      isUnresolved: this.#view.isUnresolved,
      limits: this.#limits,
      nowMs
    })
    if (plan === undefined || !this.#isDue(plan, nowMs)) {
      this.#clearRecalls()
      return
    }
    try {
      assertShardWrite(known.shard, plan.value, { kind: 'holder', holder: this.holder })
    } catch (error) {
      if (!(error instanceof BudgetInvariantError)) throw error
      this.#effects.push({ kind: 'invariant', detail: error.message })
      this.#backoff.recordFailure(nowMs)
      return
    }
    this.#view.beginWrite(plan, this.#held)
    this.#operation = { kind: 'write', plan, expectedVersion: known.version, startedMs: nowMs }
    this.#effects.push({ kind: 'write', value: plan.value, expectedVersion: known.version })
  }

  /** Returns false when no write can be due, so that the caller need not plan one. */
  #canWriteBeDue (nowMs: number): boolean {
    if (this.#state === 'draining' || nowMs - this.#lastWriteMs >= this.#limits.lowWriteMs) return true
    return [...this.#held.values()].some(held => held.waiting.length > 0 || held.isRecalled)
  }

  #isDue (plan: WritePlan, nowMs: number): boolean {
    if (plan.urgency === 'now') return true
    const pauseMs = plan.urgency === 'soon' ? this.#limits.lowWriteMs : this.#limits.flushMs
    return nowMs - this.#lastWriteMs >= pauseMs || this.#state === 'draining'
  }

  /** Answers all pending recalls, because no write follows that would return more tokens. */
  #clearRecalls (): void {
    for (const held of this.#held.values()) held.isRecalled = false
    this.#effects.push(...this.#recalls.takeDone(this.#held))
  }
}
