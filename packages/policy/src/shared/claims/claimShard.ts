/**
 * One shard of idempotency keys as one process holds it.
 *
 * A claim is granted only when owner and witness both have it under the same
 * epoch. Whoever takes over has therefore every claim that was ever granted,
 * and an old owner gets no acknowledgement once its witness acts under a
 * higher epoch.
 */
import {
  isSameProcess, type ClaimAnswer, type ClaimCopy, type ClaimCopyAnswer, type ClaimProcess, type ClaimRequest, type ClaimRunner, type ClaimShardLayout,
  type KeyClaim
} from './claimTypes.ts'

export interface ClaimShardOptions {
  readonly service: string
  readonly shard: number
  readonly self: ClaimRunner
  /** How long a key is remembered, in ms. */
  readonly retentionMs: number
  /** Most claims kept. */
  readonly limit: number
  /** Monotonic time in ms. */
  readonly nowMs: () => number
  /** Sends a copy to the witness; resolves with `undefined` without an answer. */
  readonly send: (witness: ClaimProcess, copy: ClaimCopy) => Promise<ClaimCopyAnswer | undefined>
}

interface KeptClaim {
  readonly claim: KeyClaim
  readonly atMs: number
  /** Request ids that this claim and earlier ones replaced; a late copy of them is ignored. */
  readonly replaced: ReadonlySet<string>
}

interface Waiter {
  readonly request: ClaimRequest
  readonly resolve: (answer: ClaimAnswer) => void
}

type Role = 'none' | 'owner' | 'witness'

export class ClaimShard {
  readonly #options: ClaimShardOptions
  readonly #claims = new Map<string, KeptClaim>()
  /** Keys whose present claim the witness has not acknowledged. */
  readonly #pending = new Set<string>()
  readonly #waiters = new Map<string, Waiter[]>()
  #epoch = 0
  #role: Role = 'none'
  /** Whether every claim granted up to this epoch is here. */
  #isWhole = false
  #witness: ClaimProcess | undefined
  #needsCopy = false
  #isSending = false
  #unknownUntilMs = Number.NEGATIVE_INFINITY
  #isWitnessSilent = false

  constructor (options: ClaimShardOptions) {
    this.#options = options
  }

  get epoch (): number { return this.#epoch }
  get role (): Role { return this.#role }
  get size (): number { return this.#claims.size }
  /** Whether this process knows every claim of its epoch, and may take over or hand over. */
  get isWhole (): boolean { return this.#isWhole }
  /** As owner: whether the witness has the whole shard. */
  get isWitnessWhole (): boolean { return this.#role === 'owner' && !this.#needsCopy }
  /** As owner: whether the witness left the last copy without an answer. */
  get isWitnessSilent (): boolean { return this.#role === 'owner' && this.#isWitnessSilent }
  /** Time in ms for which unknown keys cannot be judged. */
  get unknownForMs (): number { return Math.max(0, this.#unknownUntilMs - this.#options.nowMs()) }

  /** Takes a stored layout. One that is not newer has no effect. */
  applyLayout (layout: ClaimShardLayout): void {
    if (layout.epoch <= this.#epoch) return
    const isNext = layout.epoch === this.#epoch + 1
    const wasWhole = this.#isWhole && isNext
    const wasOwner = this.#role === 'owner'
    this.#epoch = layout.epoch
    this.#unknownUntilMs = Math.max(this.#unknownUntilMs, this.#options.nowMs() + layout.unknownForMs)
    if (isSameProcess(layout.owner, this.#options.self)) {
      this.#own(layout, wasWhole)
      return
    }
    if (wasOwner) this.#failAll({ kind: 'notOwner', epoch: this.#epoch })
    this.#role = isSameProcess(layout.witness, this.#options.self) ? 'witness' : 'none'
    this.#isWhole = false
    if (this.#role === 'none') this.#clear()
  }

  /** As witness: stores claims of the owner. */
  replicate (copy: ClaimCopy): ClaimCopyAnswer {
    if (!this.#mayStore(copy)) return { isAccepted: false, epoch: this.#epoch }
    if (copy.epoch > this.#epoch) {
      if (this.#role === 'owner') this.#failAll({ kind: 'notOwner', epoch: copy.epoch })
      this.#epoch = copy.epoch
      this.#role = 'witness'
      this.#isWhole = false
    }
    if (copy.isComplete && !this.#isWhole) this.#clear()
    for (const claim of copy.claims) this.#store(claim)
    if (copy.isComplete) this.#isWhole = true
    this.#unknownUntilMs = Math.max(this.#unknownUntilMs, this.#options.nowMs() + copy.unknownForMs)
    return { isAccepted: true, epoch: this.#epoch }
  }

  /** Asks for a claim. Waits for the witness where that is needed. */
  claim (request: ClaimRequest): Promise<ClaimAnswer> {
    this.#prune()
    const answer = this.#judge(request)
    if (answer !== undefined) return Promise.resolve(answer)
    return new Promise(resolve => {
      const { keyHash } = request.claim
      this.#waiters.set(keyHash, [...this.#waiters.get(keyHash) ?? [], { request, resolve }])
      this.#send()
    })
  }

  /** The claim on a key that is known to be granted or may have been. */
  find (keyHash: string): KeyClaim | undefined {
    return this.#claims.get(keyHash)?.claim
  }

  /** Whether a claim on the key may have been granted, as far as this process knows. */
  mayBeGranted (keyHash: string): boolean {
    if (!this.#isWhole || this.unknownForMs > 0) return true
    return this.#claims.has(keyHash) && !(this.#role === 'owner' && this.#pending.has(keyHash) && this.#claims.get(keyHash)!.replaced.size === 0)
  }

  /** Sends what the witness lacks, if anything. */
  retry (): void {
    this.#send()
  }

  #own (layout: ClaimShardLayout, wasWhole: boolean): void {
    const isFirst = layout.epoch === 1
    if (this.#role !== 'owner') this.#pending.clear()
    if (!wasWhole && !isFirst) {
      this.#failAll({ kind: 'unavailable', isKnownUnclaimed: false })
      this.#clear()
      this.#unknownUntilMs = this.#options.nowMs() + this.#options.retentionMs
    }
    this.#role = 'owner'
    this.#isWhole = true
    this.#witness = layout.witness
    this.#needsCopy = layout.witness !== undefined
    this.#isWitnessSilent = false
    this.#isSending = false
    if (layout.witness === undefined) this.#confirm([...this.#pending])
    this.#send()
  }

  #mayStore (copy: ClaimCopy): boolean {
    if (copy.epoch > this.#epoch) return copy.isComplete
    if (copy.epoch < this.#epoch || this.#role !== 'witness') return false
    return copy.isComplete || this.#isWhole
  }

  #store (claim: KeyClaim): void {
    const kept = this.#claims.get(claim.keyHash)
    if (kept?.claim.requestId === claim.requestId || kept?.replaced.has(claim.requestId) === true) return
    const replaced = kept === undefined ? new Set<string>() : new Set([...kept.replaced, kept.claim.requestId])
    this.#claims.delete(claim.keyHash)
    this.#claims.set(claim.keyHash, { claim, atMs: this.#options.nowMs(), replaced })
  }

  /** The answer, or `undefined` when the witness has to be waited for. */
  #judge (request: ClaimRequest): ClaimAnswer | undefined {
    const { claim, replaces, epoch } = request
    if (this.#role !== 'owner' || epoch > this.#epoch) return { kind: 'notOwner', epoch: this.#epoch }
    if (this.#pending.has(claim.keyHash)) return undefined
    const kept = this.#claims.get(claim.keyHash)
    if (kept !== undefined) {
      const isSame = kept.claim.requestId === claim.requestId
      // Others look for the request at the runner of the stored claim, so the same id at another runner is another request.
      if (isSame && isSameProcess(kept.claim.runner, claim.runner)) return { kind: 'granted' }
      if (isSame || kept.claim.requestId !== replaces || kept.replaced.has(claim.requestId)) return { kind: 'held', claim: kept.claim }
      // The witness must know the claim that is replaced, or a late copy could bring it back there.
      if (this.#needsCopy) return undefined
    } else {
      if (this.unknownForMs > 0 && !claim.idempotent) return { kind: 'unknown' }
      if (this.#claims.size >= this.#options.limit) return { kind: 'unavailable', isKnownUnclaimed: false }
    }
    this.#store(claim)
    if (this.#witness === undefined) return { kind: 'granted' }
    this.#pending.add(claim.keyHash)
    return undefined
  }

  /** One copy at a time, so that the witness receives the claims on a key in their order. */
  #send (): void {
    if (this.#isSending || this.#role !== 'owner' || this.#witness === undefined) return
    if (!this.#needsCopy && this.#pending.size === 0) return
    const isComplete = this.#needsCopy
    const keys = isComplete ? [...this.#claims.keys()] : [...this.#pending]
    const claims = keys.map(key => this.#claims.get(key)?.claim).filter(claim => claim !== undefined)
    const { service, shard, send } = this.#options
    const epoch = this.#epoch
    this.#isSending = true
    send(this.#witness, { service, shard, epoch, claims, isComplete, unknownForMs: this.unknownForMs })
      .then(answer => { this.#receive(epoch, isComplete, claims, answer) }, () => { this.#receive(epoch, isComplete, claims, undefined) })
  }

  #receive (epoch: number, isComplete: boolean, claims: readonly KeyClaim[], answer: ClaimCopyAnswer | undefined): void {
    if (epoch !== this.#epoch || this.#role !== 'owner') return
    this.#isSending = false
    if (answer?.isAccepted === true && answer.epoch === epoch) {
      this.#isWitnessSilent = false
      if (isComplete) this.#needsCopy = false
      this.#confirm(claims.filter(claim => this.#claims.get(claim.keyHash)?.claim.requestId === claim.requestId).map(claim => claim.keyHash))
      this.#send()
    } else if (answer !== undefined && answer.epoch > epoch) {
      this.#role = 'none'
      this.#isWhole = false
      this.#failAll({ kind: 'notOwner', epoch: answer.epoch })
      this.#clear()
    } else {
      this.#isWitnessSilent = isComplete || answer === undefined
      this.#needsCopy = true
      if (this.#isWitnessSilent) this.#failAll({ kind: 'unavailable', isKnownUnclaimed: false })
      else this.#send()
    }
  }

  #confirm (keys: readonly string[]): void {
    for (const key of keys) this.#pending.delete(key)
    for (const key of keys) {
      const waiters = this.#waiters.get(key) ?? []
      this.#waiters.delete(key)
      for (const { request, resolve } of waiters) {
        const answer = this.#judge(request)
        if (answer !== undefined) resolve(answer)
        else this.#waiters.set(key, [...this.#waiters.get(key) ?? [], { request, resolve }])
      }
    }
  }

  #failAll (answer: ClaimAnswer): void {
    const waiters = [...this.#waiters.values()].flat()
    this.#waiters.clear()
    for (const { resolve } of waiters) resolve(answer)
  }

  #clear (): void {
    this.#claims.clear()
    this.#pending.clear()
  }

  /** Claims are in order of their time, so this stops at the first young one. */
  #prune (): void {
    const nowMs = this.#options.nowMs()
    for (const [key, { atMs }] of this.#claims) {
      if (nowMs - atMs < this.#options.retentionMs) return
      if (!this.#pending.has(key)) this.#claims.delete(key)
    }
  }
}
