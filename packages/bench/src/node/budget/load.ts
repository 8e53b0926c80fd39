/** The load of the budget benchmark, the same for every policy. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat32 } from 'pure-rand/distribution/uniformFloat32'

export interface LoadOptions {
  readonly seed: number
  readonly routers: number
  readonly requestsPerSecond: number
  readonly durationMs: number
  readonly budgets: readonly string[]
  /** Exponent of the unequal use of budgets and routers; 0 is equal use. */
  readonly skew: number
}

export interface LoadRequest {
  readonly atMs: number
  readonly router: number
  readonly budget: string
  /** Most tokens that the request can cost. */
  readonly reservedTokens: number
  /** What it costs. */
  readonly tokens: number
  readonly durationMs: number
}

/** Smallest and largest reservation of a model call, in tokens. */
const reservedRange = [150, 700] as const

function skewedIndex (share: number, count: number, skew: number): number {
  return Math.min(count - 1, Math.floor(count * share ** (1 + skew)))
}

/** Requests in order of time. */
export function generateLoad (options: LoadOptions): readonly LoadRequest[] {
  const generator = xoroshiro128plus(options.seed)
  const random = () => uniformFloat32(generator)
  const requests: LoadRequest[] = []
  for (let atMs = 0; ;) {
    atMs += -Math.log(1 - random()) * 1000 / options.requestsPerSecond
    if (atMs >= options.durationMs) return requests
    const reservedTokens = Math.round(reservedRange[0] + random() * (reservedRange[1] - reservedRange[0]))
    requests.push({
      atMs,
      router: skewedIndex(random(), options.routers, options.skew),
      budget: options.budgets[skewedIndex(random(), options.budgets.length, options.skew)] ?? '',
      reservedTokens,
      tokens: Math.round(reservedTokens * (0.2 + 0.7 * random())),
      durationMs: 300 + 2700 * random()
    })
  }
}
