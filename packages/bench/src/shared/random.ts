/** Seeded random numbers for benches. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { mersenne } from 'pure-rand/generator/mersenne'

export interface Random {
  /** Uniform number in [0, 1). */
  next (): number
  /** Uniform integer in [0, limit). */
  below (limit: number): number
  /** Exponentially distributed with the given mean. */
  exponential (mean: number): number
  /** Poisson distributed with the given mean. */
  poisson (mean: number): number
}

/** Creates a generator whose sequence is determined by the seed. */
export function createRandom (seed: number): Random {
  // Mersenne Twister, because its first numbers are unrelated for consecutive seeds; with xorshift generators they are similar.
  const generator = mersenne(seed)
  const next = () => uniformFloat64(generator)
  const exponential = (mean: number) => -Math.log(1 - next()) * mean
  return {
    next,
    below: limit => Math.floor(next() * limit),
    exponential,
    poisson (mean) {
      let count = 0
      for (let sum = exponential(1); sum < mean; sum += exponential(1)) count++
      return count
    }
  }
}
