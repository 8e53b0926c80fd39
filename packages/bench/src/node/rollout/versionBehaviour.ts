/** Seeded behaviour of simulated versions: without a defect, or defective from the start, after some time, under load or on one route. */
import type { Random } from '../../shared/random.ts'

/** When a version is defective; a `good` version never is. */
export type Defect =
  | { readonly kind: 'good' }
  | { readonly kind: 'badAtOnce' }
  | { readonly kind: 'badLater', readonly fromSecond: number }
  | { readonly kind: 'badUnderLoad', readonly aboveRequestsPerSecond: number }
  | { readonly kind: 'badOnRoute', readonly route: string }

export interface VersionBehaviour {
  readonly defect: Defect
  /** Share of failures among the requests that the defect affects. */
  readonly failureShare: number
  /** Latency multiplier of the requests that the defect affects. */
  readonly latencyFactor: number
}

/** Routes with their shares of the traffic. */
export const routes: ReadonlyArray<readonly [string, number]> = [['POST /a', 0.55], ['POST /b', 0.25], ['GET /c', 0.12], ['GET /d', 0.08]]

export function pickRoute (random: Random): string {
  let remainingShare = random.next()
  for (const [route, share] of routes) {
    remainingShare -= share
    if (remainingShare < 0) return route
  }
  return routes[0]![0]
}

/** Draws a random version: half are good, the others are spread evenly over the kinds of defects. */
export function drawVersion (random: Random): VersionBehaviour {
  const isFailing = random.next() < 0.5
  return {
    defect: drawDefect(random),
    failureShare: isFailing ? 0.1 + 0.4 * random.next() : 0.003,
    latencyFactor: isFailing ? 1 : 1.6 + 2 * random.next()
  }
}

function drawDefect (random: Random): Defect {
  if (random.next() < 0.5) return { kind: 'good' }
  switch (random.below(4)) {
    case 0: return { kind: 'badAtOnce' }
    case 1: return { kind: 'badLater', fromSecond: 60 + random.below(500) }
    case 2: return { kind: 'badUnderLoad', aboveRequestsPerSecond: 4 + random.below(30) }
    default: return { kind: 'badOnRoute', route: routes[random.below(routes.length)]![0] }
  }
}

/** Whether the defect affects a request on `route` in this second. */
export function isAffected (defect: Defect, second: number, route: string, requestsThisSecond: number): boolean {
  switch (defect.kind) {
    case 'good': return false
    case 'badAtOnce': return true
    case 'badLater': return second >= defect.fromSecond
    case 'badUnderLoad': return requestsThisSecond > defect.aboveRequestsPerSecond
    case 'badOnRoute': return route === defect.route
  }
}
