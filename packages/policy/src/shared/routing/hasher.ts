/** Hash function for placement; the same text gives the same number in every process. */
import xxhash from 'xxhash-wasm'

/** Unsigned 32-bit hash of a text. */
export type Hasher = (text: string, seed?: number) => number

/** Loads the hash function. */
export async function createHasher (): Promise<Hasher> {
  const { h32 } = await xxhash()
  return (text, seed = 0) => h32(text, seed)
}
