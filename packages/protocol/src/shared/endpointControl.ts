/** Messages of the control API of endpoint processes. */
import { z } from 'zod'

const shortText = z.string().min(1).max(300)
const sha256Hex = z.string().regex(/^[0-9a-f]{64}$/)

/** Fences a holder of budget slices: from now on, requests under its reservations are refused unless they already run at the back end. */
export const fenceInput = z.object({ holder: shortText }).readonly()
export type FenceInput = z.infer<typeof fenceInput>

/** Reservations of a holder whose requests the endpoint process ran. Those whose settlement the holder is known to have stored are left out. */
export const fenceOutput = z.object({
  endpointId: shortText,
  incarnation: shortText,
  entries: z.array(z.object({
    shard: z.number().int().nonnegative(),
    budget: shortText,
    seq: z.number().int().nonnegative(),
    /** `reserved` while the request runs, with the whole reservation in `tokens`; `settled` afterwards, with the actual cost. */
    state: z.enum(['reserved', 'settled']),
    tokens: z.number().int().nonnegative()
  }).readonly()).readonly()
}).readonly()
export type FenceOutput = z.infer<typeof fenceOutput>

/** Confirms that the billing records of these requests are stored in the platform. */
export const acknowledgeRecordsInput = z.object({ requestIds: z.array(shortText).max(5000).readonly() }).readonly()
export type AcknowledgeRecordsInput = z.infer<typeof acknowledgeRecordsInput>

/** One incarnation of an endpoint process, with the base URL of its listener. */
export const endpointRefSchema = z.object({ id: shortText, incarnation: shortText, url: shortText }).readonly()
export type EndpointRef = z.infer<typeof endpointRefSchema>

/** A claim records which endpoint process may run the request with an idempotency key. */
export const claimSchema = z.object({
  /** Hash of the organisation and the idempotency key. */
  keyHash: sha256Hex,
  /** Hash of service, route and body. A key that is used again for other content is refused. */
  contentHash: shortText,
  requestId: shortText,
  /** The endpoint process that may run the request. */
  runner: endpointRefSchema,
  idempotent: z.boolean()
}).readonly()
export type Claim = z.infer<typeof claimSchema>

/**
 * Asks the owner of a claim shard to grant a claim. Each shard has an owner and
 * a witness, which is its replica; the epoch increases whenever they change.
 */
export const claimInput = z.object({
  service: shortText,
  shard: z.number().int().nonnegative(),
  epoch: z.number().int().nonnegative(),
  claim: claimSchema,
  /** Request id of an earlier claim on the same key whose runner has finally refused the request. The new claim replaces it. */
  replaces: shortText.optional()
}).readonly()
export type ClaimInput = z.infer<typeof claimInput>

export const claimOutput = z.discriminatedUnion('kind', [
  /** The claim is stored at the owner and, if there is one, at the witness. */
  z.object({ kind: z.literal('granted') }),
  /** An earlier request has claimed the key. The router attaches to that request at its runner. */
  z.object({ kind: z.literal('held'), claim: claimSchema }),
  /** The process does not own the shard at the requested epoch; `epoch` is the one that it knows. The router reads `claims/<service>` again. */
  z.object({ kind: z.literal('notOwner'), epoch: z.number().int().nonnegative() }),
  /** The claim was not granted. `isKnownUnclaimed` tells whether it is certain that no request has claimed the key. */
  z.object({ kind: z.literal('unavailable'), isKnownUnclaimed: z.boolean() }),
  /** Owner and witness of the shard were lost, so it is unknown whether a request with this key has run. */
  z.object({ kind: z.literal('unknown') })
]).readonly()
export type ClaimOutput = z.infer<typeof claimOutput>

/** Sent by the owner of a claim shard to its witness, to store claims there. */
export const replicateClaimsInput = z.object({
  service: shortText,
  shard: z.number().int().nonnegative(),
  epoch: z.number().int().nonnegative(),
  claims: z.array(claimSchema).max(20_000).readonly(),
  /** Whether `claims` is the whole shard, as it is sent to a new witness. */
  isComplete: z.boolean(),
  /** Time in ms during which claims of this shard may be missing, so that a key without a claim may still have been claimed. 0 when the claims are complete. */
  unknownForMs: z.number().nonnegative()
}).readonly()
export type ReplicateClaimsInput = z.infer<typeof replicateClaimsInput>

export const replicateClaimsOutput = z.object({
  isAccepted: z.boolean(),
  /** Highest epoch of the shard that the witness knows. */
  epoch: z.number().int().nonnegative()
}).readonly()
export type ReplicateClaimsOutput = z.infer<typeof replicateClaimsOutput>

/** Asks the witness to take over a shard whose owner does not answer. */
export const takeOverInput = z.object({
  service: shortText,
  shard: z.number().int().nonnegative(),
  /** Epoch of the owner that did not answer. */
  epoch: z.number().int().nonnegative()
}).readonly()
export type TakeOverInput = z.infer<typeof takeOverInput>

/**
 * Order to the engine behind an endpoint process: to load a model, adapter or
 * version, or to change its role. The endpoint process refuses an order whose
 * fencing token is below the highest one it has seen.
 */
export const orderInput = z.object({
  fencingToken: z.number().int().nonnegative(),
  order: z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('loadModel'), model: shortText }),
    z.object({ kind: z.literal('loadAdapter'), adapter: shortText }),
    z.object({ kind: z.literal('loadVersion'), version: shortText }),
    z.object({ kind: z.literal('changeRole'), role: shortText })
  ])
}).readonly()
export type OrderInput = z.infer<typeof orderInput>

export const orderOutput = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('accepted') }),
  /** The order was refused; `fencingToken` is the highest one that the endpoint process has seen. */
  z.object({ kind: z.literal('stale'), fencingToken: z.number().int() }),
  z.object({ kind: z.literal('failed'), detail: z.string() })
]).readonly()
export type OrderOutput = z.infer<typeof orderOutput>
