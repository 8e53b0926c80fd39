/** tRPC instance shared by the control APIs of router and endpoint processes. */
import { initTRPC, TRPCError } from '@trpc/server'

export interface ControlContext {
  /** Whether the request carried the fleet secret. */
  readonly isFleetMember: boolean
}

const trpc = initTRPC.context<ControlContext>().create()

export const controlRouter = trpc.router

/** Base of all procedures. Rejects requests without the fleet secret. */
export const fleetProcedure = trpc.procedure.use(({ ctx, next }) => {
  if (!ctx.isFleetMember) throw new TRPCError({ code: 'UNAUTHORIZED', message: 'the fleet secret is missing or wrong' })
  return next()
})
