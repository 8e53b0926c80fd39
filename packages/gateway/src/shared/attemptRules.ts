/** Rules for one attempt: what an answer means, whether it may be repeated, and how long to wait for it. */
import type { ResponseAttributes } from './call.ts'
import type { Route } from './fleet.ts'

export type HeadMeaning =
  /** The endpoint did not run the call. */
  | { readonly kind: 'rejected' }
  /** The answer goes to the caller. */
  | { readonly kind: 'answer' }
  /** The endpoint may have run the call, but this is not an answer to pass on. */
  | { readonly kind: 'unusable', readonly detail: string }

const misdirected = 421
/** Statuses that promise that a call did not run; they are not passed on for one that may have run. */
const promisesNotRun: ReadonlySet<number> = new Set([408, 429, 503])

export function meaningOf (status: number, attributes: ResponseAttributes): HeadMeaning {
  if (attributes.isNotExecuted || status === misdirected) return { kind: 'rejected' }
  if (promisesNotRun.has(status)) return { kind: 'unusable', detail: `the endpoint answered ${status} without saying that it did not run the request` }
  const isSuccess = status >= 200 && status < 300
  if (!isSuccess) return { kind: 'answer' }
  if (!attributes.isSigned || attributes.attemptId === undefined) return { kind: 'unusable', detail: 'the answer is not signed by the endpoint' }
  if (attributes.isEncoded) return { kind: 'unusable', detail: 'the body is encoded' }
  return { kind: 'answer' }
}

/** Whether a call may run more than once. */
export function isRepeatable (route: Route): boolean {
  return route.kind === 'safe' || (route.kind === 'streaming' && route.isResumable)
}

/** Share of the objective after which a safe call is tried elsewhere, so that the second answer can still be in time. */
const safePatience = 0.6
/** A stream waits in the engine's queue, where it would begin anew elsewhere. */
const streamPatience = 3

/** Time until a repeatable call without an answer is tried elsewhere, in ms; `undefined` for one that must not be repeated. */
export function attemptPatienceMs (route: Route, estimateMs: number): number | undefined {
  if (!isRepeatable(route)) return undefined
  return route.kind === 'safe' ? route.objectiveMs * safePatience : Math.max(route.objectiveMs, estimateMs) * streamPatience
}
