/** Seeded random numbers for simulations. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

export interface Random {
  /** Uniform in [0, 1). */
  uniform (): number
  exponential (mean: number): number
  index (count: number): number
}

/** Creates a source; the same seed gives the same numbers. */
export function createRandom (seed: number): Random {
  const generator = xoroshiro128plus(seed)
  const uniform = (): number => uniformFloat64(generator)
  return {
    uniform,
    exponential: mean => -mean * Math.log(1 - uniform()),
    index: count => Math.min(count - 1, Math.floor(uniform() * count))
  }
}
