/** Seeded load of the budget bench, the same for every policy. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat32 } from 'pure-rand/distribution/uniformFloat32'

export interface LoadOptions {
  readonly seed: number
  readonly routers: number
  readonly requestsPerSecond: number
  readonly durationMs: number
  readonly budgets: readonly string[]
  /** Skew of the load over budgets and routers: 0 is uniform, larger values prefer the first ones. */
  readonly skew: number
}

export interface LoadRequest {
  readonly atMs: number
  readonly router: number
  readonly budget: string
  /** Upper bound of the tokens that the request can spend. */
  readonly reservedTokens: number
  /** Tokens that the request spends. */
  readonly tokens: number
  readonly durationMs: number
}

/** Smallest and largest reservation of a model call, in tokens. */
const reservationRangeTokens = [150, 700] as const

/** Maps a uniform number in [0, 1) to an index below `count`. */
function skewedIndex (uniform: number, count: number, skew: number): number {
  return Math.min(count - 1, Math.floor(count * uniform ** (1 + skew)))
}

/** Generates requests with Poisson arrivals, in order of time. */
export function generateLoad (options: LoadOptions): readonly LoadRequest[] {
  const generator = xoroshiro128plus(options.seed)
  const random = () => uniformFloat32(generator)
  const requests: LoadRequest[] = []
  for (let atMs = 0; ;) {
    atMs += -Math.log(1 - random()) * 1000 / options.requestsPerSecond
    if (atMs >= options.durationMs) return requests
    const reservedTokens = Math.round(reservationRangeTokens[0] + random() * (reservationRangeTokens[1] - reservationRangeTokens[0]))
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
