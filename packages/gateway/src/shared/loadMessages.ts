/** Messages with which routers tell an aggregator the load that their requests put on engines, and get the sums of all others. */
import * as z from 'zod/mini'
import type { EngineLoads, OthersLoad } from '@buckthorndrift/policy'

const amountSchema = z.number().check(z.nonnegative())
/** By endpoint id: tokens to read, requests in flight, tokens in memory. */
const loadsSchema = z.record(z.string(), z.tuple([amountSchema, amountSchema, amountSchema]))
type EncodedLoads = z.infer<typeof loadsSchema>

export const loadMessageSchema = z.readonly(z.object({
  /** Name of the reporting node. */
  from: z.string(),
  loads: loadsSchema
}))
export type LoadMessage = z.infer<typeof loadMessageSchema>

export const loadReplySchema = z.readonly(z.object({
  /** Mean age of the reports in the sums, in ms. */
  ageMs: amountSchema,
  /** Number of routers in the sums. */
  routers: amountSchema,
  loads: loadsSchema
}))
export type LoadReply = z.infer<typeof loadReplySchema>

export function encodeLoads (loads: EngineLoads): EncodedLoads {
  return Object.fromEntries([...loads].map(([id, { pendingTokens, running, heldTokens }]) => [id, [Math.round(pendingTokens), running, Math.round(heldTokens)] as [number, number, number]]))
}

export function decodeLoads (loads: EncodedLoads): EngineLoads {
  return new Map(Object.entries(loads).map(([id, [pendingTokens, running, heldTokens]]) => [id, { pendingTokens, running, heldTokens }]))
}

export function decodeReply ({ ageMs, routers, loads }: LoadReply): OthersLoad {
  return { ageMs, routers, loads: decodeLoads(loads) }
}
