/** Rendezvous hashing: every process computes the same order, and removing an id does not reorder the others. */
import { createHash } from 'node:crypto'

function weight (key: string, id: string): string {
  return createHash('sha256').update(key).update('\0').update(id).digest('hex')
}

/** Orders ids by their rendezvous hash for `key`, highest first. */
export function rankByHash (key: string, ids: readonly string[]): readonly string[] {
  return ids.map(id => ({ id, weight: weight(key, id) }))
    .sort((left, right) => left.weight < right.weight ? 1 : -1)
    .map(({ id }) => id)
}
