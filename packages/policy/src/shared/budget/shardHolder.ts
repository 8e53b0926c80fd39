/**
 * A holder: draws slices of the budgets of one shard, reserves from them and
 * settles. It has no sockets and no clock; every input returns the effects
 * that the process around it has to carry out, in order.
 */
import { assertNever } from '@buckthorndrift/kernel'
import { assertShardWrite, BudgetInvariantError } from './invariants.ts'
import { holdersOf } from './shard.ts'
import { judgeWaiting } from './judge.ts'
import { HeldBudget, type WaitingReservation } from './heldBudget.ts'
import { Reservations } from './reservations.ts'
import { StoredView } from './storedView.ts'
import { PendingRecalls } from './pendingRecalls.ts'
import { RetryPause } from './retryBackoff.ts'
import { planWrite, type WritePlan } from './writePlan.ts'
import type { BudgetLimits } from './limits.ts'
import type { HolderEffect, ReadOutcome, ReserveAnswer, WriteOutcome } from './effects.ts'

type Operation =
  | { readonly kind: 'read', readonly startedMs: number }
  | { readonly kind: 'write', readonly plan: WritePlan, readonly expectedVersion: number, readonly startedMs: number }

export interface HolderOptions {
  /** `<routerId>.<incarnation>` */
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
  readonly #pause: RetryPause
  readonly #recalls = new PendingRecalls()

  constructor (options: HolderOptions) {
    this.holder = options.holder
    this.#limits = options.limits
    this.#view = new StoredView(options.holder)
    this.#lastWriteMs = options.nowMs
    this.#pause = new RetryPause(options.limits.retryMs)
  }

  /** Settled sequence that the platform has for certain; endpoints may drop entries at or below it. */
  get flushedSeq (): number {
    return this.#view.flushedSeq
  }

  get isFenced (): boolean {
    return this.#state === 'fenced'
  }

  /** True when no slice is held and nothing is in progress. */
  get isEmpty (): boolean {
    return this.#reservations.openCount === 0 && this.#operation === undefined && !this.#view.isUnresolved &&
      [...this.#held.values()].every(held => !held.hasStoredSlice && held.waiting.length === 0)
  }

  /** Whether reservations of all failure domains concentrate here. */
  setCollector (isCollector: boolean): void {
    this.#isCollector = isCollector
  }

  /** Asks for a reservation; the answer comes as an effect with the same id, at once or later. */
  reserve (id: number, budget: string, tokens: number, nowMs: number, waitMs = this.#limits.reserveWaitMs): readonly HolderEffect[] {
    if (this.#state !== 'open') {
      this.#answer(id, { kind: 'unavailable', retryAfterMs: this.#limits.retryMs })
      return this.#take()
    }
    const held = this.#heldOf(budget, nowMs)
    held.noteRequest(tokens, nowMs)
    held.waiting.push({ id, tokens, arrivedMs: nowMs, expiresMs: nowMs + Math.min(waitMs, this.#limits.reserveWaitMs) })
    return this.#advance(nowMs)
  }

  /** Settles a reservation at its real cost; a repeat has no effect. */
  settle (budget: string, seq: number, tokens: number, nowMs: number): readonly HolderEffect[] {
    this.#settle(budget, seq, tokens, nowMs)
    return this.#advance(nowMs)
  }

  /** Another holder asks for idle tokens back; `recalled` follows with the same id. */
  recall (id: number, budgets: readonly string[], nowMs: number): readonly HolderEffect[] {
    for (const budget of budgets) {
      const held = this.#held.get(budget)
      if (held === undefined) continue
      held.tightUntilMs = nowMs + this.#limits.scarcityMs
      held.isRecalled = held.hasStoredSlice
    }
    this.#recalls.add(id, budgets)
    return this.#advance(nowMs)
  }

  /** The answer to a `recall` effect. */
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

  readDone (outcome: ReadOutcome, nowMs: number): readonly HolderEffect[] {
    const operation = this.#operation
    this.#operation = undefined
    if (outcome.kind === 'failed' || operation === undefined) {
      this.#pause.noteFailure(nowMs)
      return this.#advance(nowMs)
    }
    this.#pause.noteSuccess()
    if (!this.#view.takeRead(outcome.version, outcome.shard, this.#held, operation.startedMs)) return this.fence()
    this.#effects.push({ kind: 'holdersSeen', holders: [...holdersOf(outcome.shard)] })
    return this.#advance(nowMs)
  }

  writeDone (outcome: WriteOutcome, nowMs: number): readonly HolderEffect[] {
    const operation = this.#operation
    this.#operation = undefined
    if (operation?.kind !== 'write') return this.#advance(nowMs)
    switch (outcome.kind) {
      case 'written':
        this.#pause.noteSuccess()
        this.#lastWriteMs = nowMs
        this.#view.confirmWrite(operation.plan, outcome.version, this.#held, operation.startedMs)
        break
      // A client that repeats calls may report its own write as a conflict, so the next read decides.
      case 'conflict':
      case 'unknown':
        this.#view.noteUnresolved(operation.expectedVersion)
        if (outcome.kind === 'unknown') this.#pause.noteFailure(nowMs)
        break
      case 'refused':
        this.#view.noteRefused(this.#held)
        this.#pause.noteFailure(nowMs)
        break
    }
    return this.#advance(nowMs)
  }

  /** Called regularly: flushes, expires waiting reservations, counts orphans. */
  tick (nowMs: number): readonly HolderEffect[] {
    for (const { seq, budget, tokens } of this.#reservations.openSince(nowMs - this.#limits.orphanMs)) {
      this.#effects.push({ kind: 'orphan', budget, seq, tokens })
      this.#settle(budget, seq, tokens, nowMs)
    }
    if (this.#operation === undefined && !this.#view.isUnresolved) this.#dropUnused(nowMs)
    return this.#advance(nowMs)
  }

  /** Takes no more reservations and returns all slices as soon as their reservations are settled. */
  drain (nowMs: number): readonly HolderEffect[] {
    if (this.#state === 'open') this.#state = 'draining'
    this.#refuseAll()
    return this.#advance(nowMs)
  }

  /** The holder is fenced: nothing runs under it any more, and whoever fenced it closes its slices. */
  fence (): readonly HolderEffect[] {
    if (this.#state !== 'fenced') this.#effects.push({ kind: 'fenced' })
    this.#state = 'fenced'
    this.#refuseAll()
    this.#clearRecalls()
    return this.#take()
  }

  /** Not while a write is under way, which may open a slice. */
  #dropUnused (nowMs: number): void {
    for (const [budget, held] of this.#held) {
      if (held.isDisposable && nowMs - held.lastUsedMs >= this.#limits.closeIdleMs) this.#held.delete(budget)
    }
  }

  #heldOf (budget: string, nowMs: number): HeldBudget {
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
    for (const covered of settled.covered) this.#heldOf(covered.budget, nowMs).coveredTokens += covered.tokens
  }

  #answer (id: number, answer: ReserveAnswer): void {
    this.#effects.push({ kind: 'answer', id, answer })
  }

  #refuseAll (): void {
    const waiting = [...this.#held.values()].flatMap(held => held.waiting.splice(0))
    for (const { id } of waiting) this.#answer(id, { kind: 'unavailable', retryAfterMs: this.#limits.retryMs })
  }

  #take (): readonly HolderEffect[] {
    const effects = this.#effects
    this.#effects = []
    return effects
  }

  /** Serves who waits, then starts the next call to the platform if one is due. */
  #advance (nowMs: number): readonly HolderEffect[] {
    if (this.#state === 'fenced') return this.#take()
    let needsRead = this.#view.known === undefined && this.#hasReasonToRead()
    for (const [budget, held] of this.#held) needsRead = this.#serve(budget, held, nowMs) || needsRead
    this.#effects.push(...this.#recalls.takeDone(this.#held))
    if (this.#operation === undefined && this.#pause.isOver(nowMs)) {
      if (needsRead) this.#startRead(nowMs)
      else this.#startWrite(nowMs)
    }
    return this.#take()
  }

  #hasReasonToRead (): boolean {
    if (!this.#recalls.isEmpty || this.#view.isUnresolved) return true
    return [...this.#held.values()].some(held => held.hasStoredSlice || held.waiting.length > 0)
  }

  /** Reserves for everyone whose tokens are there and refuses who cannot be helped. Returns whether a read is needed. */
  #serve (budget: string, held: HeldBudget, nowMs: number): boolean {
    if (held.waiting.length === 0) return false
    const remaining: WaitingReservation[] = []
    let needsRead = false
    for (const waiting of held.waiting) {
      if (waiting.tokens <= held.idleTokens) {
        this.#open(budget, held, waiting, nowMs)
        continue
      }
      const step = this.#judge(budget, held, waiting, nowMs)
      if (step === 'read') needsRead = true
      if (step === 'read' || step === 'wait') remaining.push(waiting)
    }
    held.waiting = remaining
    return needsRead
  }

  #open (budget: string, held: HeldBudget, waiting: WaitingReservation, nowMs: number): void {
    const seq = this.#reservations.open(budget, waiting.tokens, nowMs)
    held.openTokens += waiting.tokens
    held.openCount += 1
    this.#answer(waiting.id, { kind: 'reserved', seq, settledSeq: this.#view.flushedSeq })
  }

  /** Returns what is still to be done about a reservation that does not fit into the idle tokens. */
  #judge (budget: string, held: HeldBudget, waiting: WaitingReservation, nowMs: number): 'read' | 'wait' | 'answered' {
    const known = this.#view.known
    const judgement = judgeWaiting({
      holder: this.holder,
      entry: known?.shard.budgets.get(budget),
      asOfMs: known?.asOfMs,
      held,
      waiting,
      isCollector: this.#isCollector,
      limits: this.#limits,
      nowMs
    })
    switch (judgement.kind) {
      case 'wait':
      case 'read':
        return judgement.kind
      case 'recall':
        held.isRecalling = true
        held.nextRecallMs = nowMs + this.#limits.recallMs
        this.#effects.push({ kind: 'recall', holders: judgement.holders, budgets: [budget] })
        return 'wait'
      case 'exhausted':
      case 'unavailable':
        this.#answer(waiting.id, judgement)
        return 'answered'
      default:
        return assertNever(judgement)
    }
  }

  #startRead (nowMs: number): void {
    this.#operation = { kind: 'read', startedMs: nowMs }
    this.#effects.push({ kind: 'read' })
  }

  #startWrite (nowMs: number): void {
    const known = this.#view.known
    if (known === undefined || !this.#mayWrite(nowMs)) return
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
      this.#pause.noteFailure(nowMs)
      return
    }
    this.#view.beginWrite(plan, this.#held)
    this.#operation = { kind: 'write', plan, expectedVersion: known.version, startedMs: nowMs }
    this.#effects.push({ kind: 'write', value: plan.value, expectedVersion: known.version })
  }

  /** Spares the planning while no write can be due. */
  #mayWrite (nowMs: number): boolean {
    if (this.#state === 'draining' || nowMs - this.#lastWriteMs >= this.#limits.lowWriteMs) return true
    return [...this.#held.values()].some(held => held.waiting.length > 0 || held.isRecalled)
  }

  #isDue (plan: WritePlan, nowMs: number): boolean {
    if (plan.urgency === 'now') return true
    const pauseMs = plan.urgency === 'soon' ? this.#limits.lowWriteMs : this.#limits.flushMs
    return nowMs - this.#lastWriteMs >= pauseMs || this.#state === 'draining'
  }

  /** Nothing is left to write, so all recalls are answered by the stored state. */
  #clearRecalls (): void {
    for (const held of this.#held.values()) held.isRecalled = false
    this.#effects.push(...this.#recalls.takeDone(this.#held))
  }
}
