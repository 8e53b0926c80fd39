/** Messages to the control part of an endpoint process. */
import { z } from 'zod'

const name = z.string().min(1).max(300)
const hash = z.string().regex(/^[0-9a-f]{64}$/)

/** Stops all work under a holder that has not been handed to the back end. */
export const fenceInput = z.object({ holder: name }).readonly()
export type FenceInput = z.infer<typeof fenceInput>

/** What an endpoint process ran under a holder and has not seen flushed. */
export const fenceOutput = z.object({
  endpointId: name,
  incarnation: name,
  entries: z.array(z.object({
    shard: z.number().int().nonnegative(),
    budget: name,
    seq: z.number().int().nonnegative(),
    /** `reserved`: still running, `tokens` is the whole reservation. */
    state: z.enum(['reserved', 'settled']),
    tokens: z.number().int().nonnegative()
  }).readonly()).readonly()
}).readonly()
export type FenceOutput = z.infer<typeof fenceOutput>

/** Tells that these billing records are stored in the platform. */
export const acknowledgeRecordsInput = z.object({ requestIds: z.array(name).max(5000).readonly() }).readonly()
export type AcknowledgeRecordsInput = z.infer<typeof acknowledgeRecordsInput>

/** An endpoint process in one life. */
export const endpointRefSchema = z.object({ id: name, incarnation: name, url: name }).readonly()
export type EndpointRef = z.infer<typeof endpointRefSchema>

/** A claim: which endpoint process may run the request with this key. */
export const claimSchema = z.object({
  keyHash: hash,
  /** Hash of route and body; a key that comes back with another body is refused. */
  contentHash: name,
  requestId: name,
  runner: endpointRefSchema,
  idempotent: z.boolean()
}).readonly()
export type Claim = z.infer<typeof claimSchema>

/** Asks the owner of the key's shard for a claim. `replaces` names a claim that its runner has refused for good. */
export const claimInput = z.object({
  service: name,
  shard: z.number().int().nonnegative(),
  epoch: z.number().int().nonnegative(),
  claim: claimSchema,
  replaces: name.optional()
}).readonly()
export type ClaimInput = z.infer<typeof claimInput>

export const claimOutput = z.discriminatedUnion('kind', [
  /** The claim is stored at owner and witness. */
  z.object({ kind: z.literal('granted') }),
  /** An earlier request holds the key; attach to it at its runner. */
  z.object({ kind: z.literal('held'), claim: claimSchema }),
  /** Not the owner at this epoch; read `claims/<service>` again. */
  z.object({ kind: z.literal('notOwner'), epoch: z.number().int().nonnegative() }),
  /** Nothing was granted; `isKnownUnclaimed` tells whether the key is certain not to be claimed. */
  z.object({ kind: z.literal('unavailable'), isKnownUnclaimed: z.boolean() }),
  /** Both processes that knew the shard were lost; nobody can tell whether the key ran. */
  z.object({ kind: z.literal('unknown') })
]).readonly()
export type ClaimOutput = z.infer<typeof claimOutput>

/** Owner to witness: stores claims under an epoch. */
export const replicateClaimsInput = z.object({
  service: name,
  shard: z.number().int().nonnegative(),
  epoch: z.number().int().nonnegative(),
  claims: z.array(claimSchema).max(20_000).readonly(),
  /** True when `claims` is the whole shard, sent to a new witness. */
  isComplete: z.boolean(),
  /** Until when, in ms from now, unknown keys cannot be judged; 0 when the shard is known wholly. */
  unknownForMs: z.number().nonnegative()
}).readonly()
export type ReplicateClaimsInput = z.infer<typeof replicateClaimsInput>

export const replicateClaimsOutput = z.object({
  isAccepted: z.boolean(),
  /** Highest epoch that the witness knows of the shard. */
  epoch: z.number().int().nonnegative()
}).readonly()
export type ReplicateClaimsOutput = z.infer<typeof replicateClaimsOutput>

/** Asks a witness to take a shard over from an owner that does not answer. */
export const takeOverInput = z.object({
  service: name,
  shard: z.number().int().nonnegative(),
  /** Epoch under which the owner did not answer. */
  epoch: z.number().int().nonnegative()
}).readonly()
export type TakeOverInput = z.infer<typeof takeOverInput>

/** Order to an engine; an endpoint process refuses a fencing token lower than one it has seen. */
export const orderInput = z.object({
  fencingToken: z.number().int().nonnegative(),
  order: z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('loadModel'), model: name }),
    z.object({ kind: z.literal('loadAdapter'), adapter: name }),
    z.object({ kind: z.literal('loadVersion'), version: name }),
    z.object({ kind: z.literal('changeRole'), role: name })
  ])
}).readonly()
export type OrderInput = z.infer<typeof orderInput>

export const orderOutput = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('accepted') }),
  z.object({ kind: z.literal('stale'), fencingToken: z.number().int() }),
  z.object({ kind: z.literal('failed'), detail: z.string() })
]).readonly()
export type OrderOutput = z.infer<typeof orderOutput>
