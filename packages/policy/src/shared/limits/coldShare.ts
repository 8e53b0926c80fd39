/**
 * Divides among routers the requests that a cold endpoint may get.
 *
 * As with named limits, the first ranks send at the same pace and save up nothing, and no
 * message is needed. A cold endpoint is bounded in every second, so fewer routers may send
 * to it. The others send nothing: unlike a named limit, this one ends by itself. Ranks do
 * not move up for routers that do not respond, because they may still send.
 */
import { limitIntervalMs } from './limitShare.ts'

/** Requests that a cold endpoint bears from all routers together. */
export interface ColdLimit {
  /** Pace at which it stays sound. */
  readonly requestsPerSecond: number
  /** Multiple of the pace that it may get in one second, and requests beyond that. */
  readonly overrun: number
  readonly slack: number
}

export interface ColdShare {
  /** Number of the first ranks that send to the endpoint. */
  readonly participants: number
  /** Time between two requests of one participant. */
  readonly intervalMs: number
}

const windowMs = 1000
/** Part of the bound that is used. The rest is for routers that know other sets of routers for a while. */
const usablePart = 0.75
/** Requests of one router may arrive closer to each other than they were sent. */
const jitterPart = 0.1

export function coldShare ({ requestsPerSecond, overrun, slack }: ColdLimit, routers: number): ColdShare {
  const usable = Math.max(1, Math.floor((requestsPerSecond * overrun + slack) * usablePart))
  const participants = Math.min(routers, usable)
  const perWindow = Math.floor(usable / participants)
  const paceMs = limitIntervalMs(requestsPerSecond, { kind: 'participant', participants })
  return { participants, intervalMs: Math.max(paceMs, windowMs * (1 + jitterPart) / perWindow) }
}
