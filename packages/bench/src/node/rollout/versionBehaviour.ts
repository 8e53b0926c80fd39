/** Seeded behaviour of versions: good, bad at once, later, under load, or on one route. */
import type { Random } from '../../shared/random.ts'

export type Badness =
  | { readonly kind: 'good' }
  | { readonly kind: 'badAtOnce' }
  | { readonly kind: 'badLater', readonly fromSecond: number }
  | { readonly kind: 'badUnderLoad', readonly aboveRequestsPerSecond: number }
  | { readonly kind: 'badOnRoute', readonly route: string }

export interface VersionBehaviour {
  readonly badness: Badness
  /** Share of failures while bad. */
  readonly failureShare: number
  /** Factor on latency while bad. */
  readonly slowFactor: number
}

/** Routes with their share of the traffic. */
export const routes: ReadonlyArray<readonly [string, number]> = [['POST /a', 0.55], ['POST /b', 0.25], ['GET /c', 0.12], ['GET /d', 0.08]]

export function pickRoute (random: Random): string {
  let left = random.next()
  for (const [route, share] of routes) {
    left -= share
    if (left < 0) return route
  }
  return routes[0]![0]
}

/** Draws a version; half are good, the rest is spread evenly over the kinds of badness. */
export function drawVersion (random: Random): VersionBehaviour {
  const isFailing = random.next() < 0.5
  return {
    badness: drawBadness(random),
    failureShare: isFailing ? 0.1 + 0.4 * random.next() : 0.003,
    slowFactor: isFailing ? 1 : 1.6 + 2 * random.next()
  }
}

function drawBadness (random: Random): Badness {
  if (random.next() < 0.5) return { kind: 'good' }
  switch (random.below(4)) {
    case 0: return { kind: 'badAtOnce' }
    case 1: return { kind: 'badLater', fromSecond: 60 + random.below(500) }
    case 2: return { kind: 'badUnderLoad', aboveRequestsPerSecond: 4 + random.below(30) }
    default: return { kind: 'badOnRoute', route: routes[random.below(routes.length)]![0] }
  }
}

/** Whether the version treats this request badly. */
export function isBadNow (badness: Badness, second: number, route: string, requestsThisSecond: number): boolean {
  switch (badness.kind) {
    case 'good': return false
    case 'badAtOnce': return true
    case 'badLater': return second >= badness.fromSecond
    case 'badUnderLoad': return requestsThisSecond > badness.aboveRequestsPerSecond
    case 'badOnRoute': return route === badness.route
  }
}
