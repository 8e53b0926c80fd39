/** Rendezvous hashing: all processes that know the same members rank them in the same order. */
import type { Hasher } from './hasher.ts'

/** Ranks members by their weight for `key`, best first. When a member leaves, the order of the others stays the same. */
export function rankByRendezvous<Member extends { readonly id: string }> (hasher: Hasher, key: string, members: readonly Member[]): readonly Member[] {
  const seed = hasher(key)
  return members
    .map(member => ({ member, weight: hasher(member.id, seed) }))
    .toSorted((left, right) => right.weight - left.weight || (left.member.id < right.member.id ? -1 : 1))
    .map(entry => entry.member)
}
