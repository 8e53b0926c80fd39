/**
 * State of one shard of idempotency keys in one process.
 *
 * A claim is granted only after owner and witness have both stored it under the
 * same epoch. A process that takes over therefore has every granted claim. An
 * old owner can grant no more claims once its witness has a higher epoch,
 * because the witness rejects copies of a lower epoch.
 */
import {
  isSameProcess, type ClaimAnswer, type ClaimCopy, type ClaimCopyAnswer, type ClaimProcess, type ClaimRequest, type ClaimRunner, type ClaimShardLayout,
  type KeyClaim
} from './claimTypes.ts'

export interface ClaimShardOptions {
  readonly service: string
  readonly shard: number
  readonly self: ClaimRunner
  /** How long a claim is kept, in ms. */
  readonly retentionMs: number
  /** Maximum number of claims kept. */
  readonly limit: number
  /** Monotonic time in ms. */
  readonly nowMs: () => number
  /** Sends claims to the witness; resolves to `undefined` when it does not answer. */
  readonly send: (witness: ClaimProcess, copy: ClaimCopy) => Promise<ClaimCopyAnswer | undefined>
}

interface StoredClaim {
  readonly claim: KeyClaim
  readonly atMs: number
  /** Request ids of all earlier claims on the key. Copies of those claims that arrive late are ignored. */
  readonly replaced: ReadonlySet<string>
}

/** A claim request that waits for the witness to acknowledge the claim on its key. */
interface Waiter {
  readonly request: ClaimRequest
  readonly resolve: (answer: ClaimAnswer) => void
}

type Role = 'none' | 'owner' | 'witness'

export class ClaimShard {
  readonly #options: ClaimShardOptions
  readonly #claims = new Map<string, StoredClaim>()
  /** Keys whose current claim the witness has not acknowledged. */
  readonly #pending = new Set<string>()
  readonly #waiters = new Map<string, Waiter[]>()
  #epoch = 0
  #role: Role = 'none'
  /** Whether this process has every claim granted up to the current epoch. */
  #hasAllClaims = false
  #witness: ClaimProcess | undefined
  #needsFullCopy = false
  #isSending = false
  /** Monotonic time until which a key without a stored claim may still have been claimed, because claims may have been lost. */
  #unknownUntilMs = Number.NEGATIVE_INFINITY
  #isWitnessSilent = false

  constructor (options: ClaimShardOptions) {
    this.#options = options
  }

  get epoch (): number { return this.#epoch }
  get role (): Role { return this.#role }
  get size (): number { return this.#claims.size }
  /** Whether this process has every claim granted up to its epoch, and so may take the shard over or hand it over. */
  get hasAllClaims (): boolean { return this.#hasAllClaims }
  /** Whether this process is the owner and does not have to send its witness a full copy of the claims. */
  get isWitnessInSync (): boolean { return this.#role === 'owner' && !this.#needsFullCopy }
  /** Whether this process is the owner and its witness did not answer the last copy, or rejected a full copy. */
  get isWitnessSilent (): boolean { return this.#role === 'owner' && this.#isWitnessSilent }
  /** Time from now, in ms, during which a key without a stored claim may still have been claimed, because claims may have been lost. */
  get unknownForMs (): number { return Math.max(0, this.#unknownUntilMs - this.#options.nowMs()) }

  /** Applies a stored layout, unless its epoch is not higher than the current one. */
  applyLayout (layout: ClaimShardLayout): void {
    if (layout.epoch <= this.#epoch) return
    const isNext = layout.epoch === this.#epoch + 1
    const hadAllClaims = this.#hasAllClaims && isNext
    const wasOwner = this.#role === 'owner'
    this.#epoch = layout.epoch
    this.#unknownUntilMs = Math.max(this.#unknownUntilMs, this.#options.nowMs() + layout.unknownForMs)
    if (isSameProcess(layout.owner, this.#options.self)) {
      this.#becomeOwner(layout, hadAllClaims)
      return
    }
    if (wasOwner) this.#failAll({ kind: 'notOwner', epoch: this.#epoch })
    this.#role = isSameProcess(layout.witness, this.#options.self) ? 'witness' : 'none'
    this.#hasAllClaims = false
    if (this.#role === 'none') this.#clear()
  }

  /** Stores claims that the owner sends to this process as its witness. */
  replicate (copy: ClaimCopy): ClaimCopyAnswer {
    if (!this.#mayStore(copy)) return { isAccepted: false, epoch: this.#epoch }
    if (copy.epoch > this.#epoch) {
      if (this.#role === 'owner') this.#failAll({ kind: 'notOwner', epoch: copy.epoch })
      this.#epoch = copy.epoch
      this.#role = 'witness'
      this.#hasAllClaims = false
    }
    if (copy.isComplete && !this.#hasAllClaims) this.#clear()
    for (const claim of copy.claims) this.#store(claim)
    if (copy.isComplete) this.#hasAllClaims = true
    this.#unknownUntilMs = Math.max(this.#unknownUntilMs, this.#options.nowMs() + copy.unknownForMs)
    return { isAccepted: true, epoch: this.#epoch }
  }

  /** Handles a claim request. Resolves after the witness has acknowledged the claim, where that is required. */
  claim (request: ClaimRequest): Promise<ClaimAnswer> {
    this.#prune()
    const answer = this.#evaluate(request)
    if (answer !== undefined) return Promise.resolve(answer)
    return new Promise(resolve => {
      const { keyHash } = request.claim
      this.#waiters.set(keyHash, [...this.#waiters.get(keyHash) ?? [], { request, resolve }])
      this.#sendToWitness()
    })
  }

  /** The stored claim on a key, whether or not it has been granted. */
  find (keyHash: string): KeyClaim | undefined {
    return this.#claims.get(keyHash)?.claim
  }

  /** Whether a claim on the key may have been granted. `false` is certain unless another process has raised the epoch. */
  mayBeGranted (keyHash: string): boolean {
    if (!this.#hasAllClaims || this.unknownForMs > 0) return true
    return this.#claims.has(keyHash) && !(this.#role === 'owner' && this.#pending.has(keyHash) && this.#claims.get(keyHash)!.replaced.size === 0)
  }

  /** Sends the witness the claims that it has not acknowledged, or a full copy if it needs one. */
  resendPending (): void {
    this.#sendToWitness()
  }

  #becomeOwner (layout: ClaimShardLayout, hadAllClaims: boolean): void {
    const isFirstEpoch = layout.epoch === 1
    if (this.#role !== 'owner') this.#pending.clear()
    if (!hadAllClaims && !isFirstEpoch) {
      this.#failAll({ kind: 'unavailable', isKnownUnclaimed: false })
      this.#clear()
      this.#unknownUntilMs = this.#options.nowMs() + this.#options.retentionMs
    }
    this.#role = 'owner'
    this.#hasAllClaims = true
    this.#witness = layout.witness
    this.#needsFullCopy = layout.witness !== undefined
    this.#isWitnessSilent = false
    this.#isSending = false
    if (layout.witness === undefined) this.#acknowledge([...this.#pending])
    this.#sendToWitness()
  }

  #mayStore (copy: ClaimCopy): boolean {
    if (copy.epoch > this.#epoch) return copy.isComplete
    if (copy.epoch < this.#epoch || this.#role !== 'witness') return false
    return copy.isComplete || this.#hasAllClaims
  }

  #store (claim: KeyClaim): void {
    const kept = this.#claims.get(claim.keyHash)
    if (kept?.claim.requestId === claim.requestId || kept?.replaced.has(claim.requestId) === true) return
    const replaced = kept === undefined ? new Set<string>() : new Set([...kept.replaced, kept.claim.requestId])
    this.#claims.delete(claim.keyHash)
    this.#claims.set(claim.keyHash, { claim, atMs: this.#options.nowMs(), replaced })
  }

  /** Answers a request; `undefined` when the answer has to wait for the witness. */
  #evaluate (request: ClaimRequest): ClaimAnswer | undefined {
    const { claim, replaces, epoch } = request
    if (this.#role !== 'owner' || epoch > this.#epoch) return { kind: 'notOwner', epoch: this.#epoch }
    if (this.#pending.has(claim.keyHash)) return undefined
    const kept = this.#claims.get(claim.keyHash)
    if (kept !== undefined) {
      const isSame = kept.claim.requestId === claim.requestId
      // Routers look up a request at the runner of the stored claim, so the same request id with another runner is a different request.
      if (isSame && isSameProcess(kept.claim.runner, claim.runner)) return { kind: 'granted' }
      if (isSame || kept.claim.requestId !== replaces || kept.replaced.has(claim.requestId)) return { kind: 'held', claim: kept.claim }
      // The witness must have the replaced claim first. Otherwise a late copy of it would overwrite the new claim there.
      if (this.#needsFullCopy) return undefined
    } else {
      if (this.unknownForMs > 0 && !claim.idempotent) return { kind: 'unknown' }
      if (this.#claims.size >= this.#options.limit) return { kind: 'unavailable', isKnownUnclaimed: false }
    }
    this.#store(claim)
    if (this.#witness === undefined) return { kind: 'granted' }
    this.#pending.add(claim.keyHash)
    return undefined
  }

  /** Sends one copy at a time, so that the witness receives the claims on a key in order. */
  #sendToWitness (): void {
    if (this.#isSending || this.#role !== 'owner' || this.#witness === undefined) return
    if (!this.#needsFullCopy && this.#pending.size === 0) return
    const isComplete = this.#needsFullCopy
    const keys = isComplete ? [...this.#claims.keys()] : [...this.#pending]
    const claims = keys.map(key => this.#claims.get(key)?.claim).filter(claim => claim !== undefined)
    const { service, shard, send } = this.#options
    const epoch = this.#epoch
    this.#isSending = true
    send(this.#witness, { service, shard, epoch, claims, isComplete, unknownForMs: this.unknownForMs })
      .then(answer => { this.#handleCopyAnswer(epoch, isComplete, claims, answer) }, () => { this.#handleCopyAnswer(epoch, isComplete, claims, undefined) })
  }

  #handleCopyAnswer (epoch: number, isComplete: boolean, claims: readonly KeyClaim[], answer: ClaimCopyAnswer | undefined): void {
    if (epoch !== this.#epoch || this.#role !== 'owner') return
    this.#isSending = false
    if (answer?.isAccepted === true && answer.epoch === epoch) {
      this.#isWitnessSilent = false
      if (isComplete) this.#needsFullCopy = false
      this.#acknowledge(claims.filter(claim => this.#claims.get(claim.keyHash)?.claim.requestId === claim.requestId).map(claim => claim.keyHash))
      this.#sendToWitness()
    } else if (answer !== undefined && answer.epoch > epoch) {
      this.#role = 'none'
      this.#hasAllClaims = false
      this.#failAll({ kind: 'notOwner', epoch: answer.epoch })
      this.#clear()
    } else {
      this.#isWitnessSilent = isComplete || answer === undefined
      this.#needsFullCopy = true
      if (this.#isWitnessSilent) this.#failAll({ kind: 'unavailable', isKnownUnclaimed: false })
      else this.#sendToWitness()
    }
  }

  #acknowledge (keys: readonly string[]): void {
    for (const key of keys) this.#pending.delete(key)
    for (const key of keys) {
      const waiters = this.#waiters.get(key) ?? []
      this.#waiters.delete(key)
      for (const { request, resolve } of waiters) {
        const answer = this.#evaluate(request)
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

  /** Deletes expired claims. They are ordered by the time they were stored, so the first claim that has not expired ends the loop. */
  #prune (): void {
    const nowMs = this.#options.nowMs()
    for (const [key, { atMs }] of this.#claims) {
      if (nowMs - atMs < this.#options.retentionMs) return
      if (!this.#pending.has(key)) this.#claims.delete(key)
    }
  }
}
