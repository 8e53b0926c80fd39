/** Hash function for the choice of endpoints; a text has the same hash in every process. */
import xxhash from 'xxhash-wasm'

/** Unsigned 32-bit hash of a text. */
export type Hasher = (text: string, seed?: number) => number

/** Loads the WebAssembly module of the hash function. */
export async function createHasher (): Promise<Hasher> {
  const { h32 } = await xxhash()
  return (text, seed = 0) => h32(text, seed)
}
