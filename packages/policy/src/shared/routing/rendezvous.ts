/** Rendezvous hashing: every process that knows the same members ranks them alike. */
import type { Hasher } from './hasher.ts'

/** Members in order of their weight for `key`; a member that leaves moves no other. */
export function rankByRendezvous<Member extends { readonly id: string }> (hasher: Hasher, key: string, members: readonly Member[]): readonly Member[] {
  const seed = hasher(key)
  return members
    .map(member => ({ member, weight: hasher(member.id, seed) }))
    .toSorted((left, right) => right.weight - left.weight || (left.member.id < right.member.id ? -1 : 1))
    .map(entry => entry.member)
}
