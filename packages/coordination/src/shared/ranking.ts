/** Rendezvous ranking: every process computes the same order, and one that leaves moves only its own place. */
import { createHash } from 'node:crypto'

function weight (key: string, id: string): string {
  return createHash('sha256').update(key).update('\0').update(id).digest('hex')
}

/** Ids in order of their rank for `key`, highest first. */
export function rankByHash (key: string, ids: readonly string[]): readonly string[] {
  return ids.map(id => ({ id, weight: weight(key, id) }))
    .sort((left, right) => left.weight < right.weight ? 1 : -1)
    .map(({ id }) => id)
}
