/** Seeded random numbers for stand-ins and tests. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Returns a generator of numbers in [0, 1); the same seed gives the same sequence. */
export function randomFrom (seed: number): () => number {
  const generator = xoroshiro128plus(seed)
  return () => uniformFloat64(generator)
}
