/** Control router of an endpoint process; its plugins supply the handlers. */
import {
  acknowledgeRecordsInput, claimInput, claimOutput, fenceInput, fenceOutput, orderInput, orderOutput,
  replicateClaimsInput, replicateClaimsOutput, takeOverInput,
  type AcknowledgeRecordsInput, type ClaimInput, type ClaimOutput, type FenceInput, type FenceOutput,
  type OrderInput, type OrderOutput, type ReplicateClaimsInput, type ReplicateClaimsOutput, type TakeOverInput
} from '../shared/endpointControl.ts'
import { controlRouter, fleetProcedure } from './trpc.ts'

export interface SliceHandlers {
  /** Fences the holder and returns its entries; repeating it returns the present entries. */
  fence (input: FenceInput): Promise<FenceOutput>
  /** Drops the entries of a fenced holder whose slices are closed. The fence stays. */
  forget (input: FenceInput): Promise<void>
}

export interface EndpointRecordHandlers {
  acknowledge (input: AcknowledgeRecordsInput): Promise<void>
}

export interface ClaimHandlers {
  claim (input: ClaimInput): Promise<ClaimOutput>
  replicate (input: ReplicateClaimsInput): Promise<ReplicateClaimsOutput>
  takeOver (input: TakeOverInput): Promise<void>
}

export interface LifecycleHandlers {
  /** Starts a graceful shutdown of the endpoint process. */
  drain (): Promise<void>
  order (input: OrderInput): Promise<OrderOutput>
}

export interface EndpointControlHandlers {
  readonly slices: SliceHandlers
  readonly records: EndpointRecordHandlers
  readonly claims: ClaimHandlers
  readonly lifecycle: LifecycleHandlers
}

/** Builds the tRPC router from the handlers. */
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
