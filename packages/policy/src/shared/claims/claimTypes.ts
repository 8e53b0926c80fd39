/**
 * Claims on idempotency keys. A claim records which endpoint process may run the
 * request with a key. Claims are sharded by key. The owner of a shard grants its
 * claims; the witness stores a copy and can take the shard over.
 */

/** One incarnation of an endpoint process. */
export interface ClaimRunner {
  readonly id: string
  readonly incarnation: string
  readonly url: string
}

/** The claim on one idempotency key. */
export interface KeyClaim {
  /** SHA-256 of the organisation and the key, in hex. */
  readonly keyHash: string
  readonly contentHash: string
  readonly requestId: string
  readonly runner: ClaimRunner
  readonly idempotent: boolean
}

export interface ClaimRequest {
  readonly service: string
  readonly shard: number
  readonly epoch: number
  readonly claim: KeyClaim
  /** Request id of the claim to replace. Its runner has permanently refused to run that request. */
  readonly replaces?: string | undefined
}

/**
 * Answer to a claim request.
 * `granted`: the runner of the claim may run the request.
 * `held`: another request holds the claim on the key.
 * `notOwner`: the process does not own the shard; `epoch` is the highest epoch that it knows.
 * `unavailable`: the claim cannot be confirmed at present; `isKnownUnclaimed` tells whether the key was certainly unclaimed.
 * `unknown`: the shard has lost claims, and the key may be among them.
 */
export type ClaimAnswer =
  | { readonly kind: 'granted' }
  | { readonly kind: 'held', readonly claim: KeyClaim }
  | { readonly kind: 'notOwner', readonly epoch: number }
  | { readonly kind: 'unavailable', readonly isKnownUnclaimed: boolean }
  | { readonly kind: 'unknown' }

/** Claims that the owner of a shard sends to its witness. */
export interface ClaimCopy {
  readonly service: string
  readonly shard: number
  readonly epoch: number
  readonly claims: readonly KeyClaim[]
  /** Whether `claims` contains all claims of the shard. */
  readonly isComplete: boolean
  /** Time from now, in ms, during which a key without a stored claim may still have been claimed, because claims may have been lost. */
  readonly unknownForMs: number
}

export interface ClaimCopyAnswer {
  readonly isAccepted: boolean
  /** Highest epoch of the shard that the answering process knows. */
  readonly epoch: number
}

/** An endpoint process that can be the owner or the witness of shards. */
export interface ClaimProcess extends ClaimRunner {
  readonly vm: string
  readonly failureDomain: string
}

export interface ClaimShardLayout {
  /** Increases with each change of owner or witness. */
  readonly epoch: number
  readonly owner: ClaimProcess
  /** Absent while the service has a single endpoint process. */
  readonly witness?: ClaimProcess | undefined
  /** Time after this change, in ms, during which a key without a stored claim may still have been claimed, because claims may have been lost. */
  readonly unknownForMs: number
}

/** Value of the document `claims/<service>`. The index in `shards` is the shard number. */
export interface ClaimLayout {
  readonly shards: readonly ClaimShardLayout[]
}

/** Whether both are the same incarnation of the same process. */
export function isSameProcess (one: ClaimRunner | undefined, other: ClaimRunner | undefined): boolean {
  return one !== undefined && other !== undefined && one.id === other.id && one.incarnation === other.incarnation
}
