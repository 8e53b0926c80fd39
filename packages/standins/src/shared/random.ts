/** Seeded random numbers for stand-ins. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Returns a function that gives numbers from 0 below 1, always the same ones for a seed. */
export function randomFrom (seed: number): () => number {
  const generator = xoroshiro128plus(seed)
  return () => uniformFloat64(generator)
}
