/** Claims on idempotency keys: which endpoint process may run the request with a key. */

/** An endpoint process in one life. */
export interface ClaimRunner {
  readonly id: string
  readonly incarnation: string
  readonly url: string
}

export interface KeyClaim {
  /** SHA-256 in hex of organisation and key. */
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
  /** Request id of a claim that its runner has refused for good. */
  readonly replaces?: string | undefined
}

export type ClaimAnswer =
  | { readonly kind: 'granted' }
  | { readonly kind: 'held', readonly claim: KeyClaim }
  | { readonly kind: 'notOwner', readonly epoch: number }
  | { readonly kind: 'unavailable', readonly isKnownUnclaimed: boolean }
  | { readonly kind: 'unknown' }

export interface ClaimCopy {
  readonly service: string
  readonly shard: number
  readonly epoch: number
  readonly claims: readonly KeyClaim[]
  /** True when `claims` is the whole shard. */
  readonly isComplete: boolean
  /** Until when, in ms from now, unknown keys cannot be judged. */
  readonly unknownForMs: number
}

export interface ClaimCopyAnswer {
  readonly isAccepted: boolean
  /** Highest epoch known of the shard. */
  readonly epoch: number
}

/** A process that owns or witnesses shards. */
export interface ClaimProcess extends ClaimRunner {
  readonly vm: string
  readonly failureDomain: string
}

export interface ClaimShardLayout {
  /** Rises with each change of owner or witness. */
  readonly epoch: number
  readonly owner: ClaimProcess
  /** Absent while the service has a single endpoint process. */
  readonly witness?: ClaimProcess | undefined
  /** How long unknown keys cannot be judged after this change, in ms. */
  readonly unknownForMs: number
}

/** Value of the document `claims/<service>`. */
export interface ClaimLayout {
  readonly shards: readonly ClaimShardLayout[]
}

export function isSameProcess (one: ClaimRunner | undefined, other: ClaimRunner | undefined): boolean {
  return one !== undefined && other !== undefined && one.id === other.id && one.incarnation === other.incarnation
}
