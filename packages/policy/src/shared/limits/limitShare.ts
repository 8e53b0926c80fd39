/**
 * Divides the limit that an endpoint puts on the requests of all routers together.
 *
 * Up to `participantCount` routers send to the endpoint, each at the same pace, and none
 * of them saves up unused requests. The other routers only observe: they ask a participant
 * whether the limit still holds. So no message is needed before a request, and the paces
 * add up to the limit also while routers do not reach each other.
 */

/** Role of this router for an endpoint that named a limit. */
export type LimitShare =
  | { readonly kind: 'participant', readonly participants: number }
  | { readonly kind: 'observer', readonly routers: number }

/** Longest time in which participants send one request each. It bounds how late the end of a limit is noticed. */
const participantIntervalS = 3
/** Pace under a lower limit, even 0. Without a request now and then, the end of the limit would never be noticed. */
const minRequestsPerSecond = 0.1
/** Time without news from a participant after which an observer sends a request itself. */
const minObserverIntervalMs = 30_000
/** Observers without news send this share of the limit in total, in addition to the participants. */
const observerShare = 0.5

/** Number of routers that share a limit. Even if all of them send at the same moments, an endpoint gets at most one and a half times its limit in a few seconds, beyond a handful of requests. */
export function participantCount (requestsPerSecond: number, routers: number): number {
  return Math.min(routers, Math.floor(requestsPerSecond * participantIntervalS) + 1)
}

/** Time between two requests of this router to the endpoint, in ms. For an observer it begins with the last news of a participant. */
export function limitIntervalMs (requestsPerSecond: number, share: LimitShare): number {
  const rate = Math.max(requestsPerSecond, minRequestsPerSecond) / 1000
  switch (share.kind) {
    case 'participant': return share.participants / rate
    case 'observer': return Math.max(minObserverIntervalMs, share.routers / (rate * observerShare))
  }
}
