/** tRPC instance shared by the control routers of the fleet. */
import { initTRPC, TRPCError } from '@trpc/server'

export interface ControlContext {
  /** True when the request carried the fleet secret. */
  readonly isFleetMember: boolean
}

const trpc = initTRPC.context<ControlContext>().create()

export const controlRouter = trpc.router

/** Procedure open only to processes of the fleet. */
export const fleetProcedure = trpc.procedure.use(({ ctx, next }) => {
  if (!ctx.isFleetMember) throw new TRPCError({ code: 'UNAUTHORIZED', message: 'the fleet secret is missing or wrong' })
  return next()
})
