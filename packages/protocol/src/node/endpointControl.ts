/** tRPC router of the control API of endpoint processes. The plugins of the process supply the handlers. */
import {
  acknowledgeRecordsInput, claimInput, claimOutput, fenceInput, fenceOutput, orderInput, orderOutput,
  replicateClaimsInput, replicateClaimsOutput, takeOverInput,
  type AcknowledgeRecordsInput, type ClaimInput, type ClaimOutput, type FenceInput, type FenceOutput,
  type OrderInput, type OrderOutput, type ReplicateClaimsInput, type ReplicateClaimsOutput, type TakeOverInput
} from '../shared/endpointControl.ts'
import { controlRouter, fleetProcedure } from './trpc.ts'

/** Handlers for the reservation entries that an endpoint process keeps for holders of budget slices. */
export interface SliceHandlers {
  /** Fences the holder and returns its entries. A repeated call returns the current entries. */
  fence (input: FenceInput): Promise<FenceOutput>
  /** Deletes the entries of a fenced holder after its slices were closed. The holder stays fenced. */
  forget (input: FenceInput): Promise<void>
}

export interface EndpointRecordHandlers {
  acknowledge (input: AcknowledgeRecordsInput): Promise<void>
}

/** Handlers for claims, which record which endpoint process runs the request with an idempotency key. */
export interface ClaimHandlers {
  claim (input: ClaimInput): Promise<ClaimOutput>
  replicate (input: ReplicateClaimsInput): Promise<ReplicateClaimsOutput>
  takeOver (input: TakeOverInput): Promise<void>
}

export interface LifecycleHandlers {
  /** Starts a graceful shutdown of the endpoint process. */
  drain (): Promise<void>
  /** Passes an order to the engine behind the endpoint process. */
  order (input: OrderInput): Promise<OrderOutput>
}

export interface EndpointControlHandlers {
  readonly slices: SliceHandlers
  readonly records: EndpointRecordHandlers
  readonly claims: ClaimHandlers
  readonly lifecycle: LifecycleHandlers
}

/** Creates the tRPC router. */
export function createEndpointControl (handlers: EndpointControlHandlers) {
  return controlRouter({
    slices: controlRouter({
      fence: fleetProcedure.input(fenceInput).output(fenceOutput).mutation(({ input }) => handlers.slices.fence(input)),
      forget: fleetProcedure.input(fenceInput).mutation(({ input }) => handlers.slices.forget(input))
    }),
    records: controlRouter({
      acknowledge: fleetProcedure.input(acknowledgeRecordsInput)
        .mutation(({ input }) => handlers.records.acknowledge(input))
    }),
    claims: controlRouter({
      claim: fleetProcedure.input(claimInput).output(claimOutput).mutation(({ input }) => handlers.claims.claim(input)),
      replicate: fleetProcedure.input(replicateClaimsInput).output(replicateClaimsOutput)
        .mutation(({ input }) => handlers.claims.replicate(input)),
      takeOver: fleetProcedure.input(takeOverInput).mutation(({ input }) => handlers.claims.takeOver(input))
    }),
    lifecycle: controlRouter({
      drain: fleetProcedure.mutation(() => handlers.lifecycle.drain()),
      order: fleetProcedure.input(orderInput).output(orderOutput).mutation(({ input }) => handlers.lifecycle.order(input))
    })
  })
}

export type EndpointControl = ReturnType<typeof createEndpointControl>
