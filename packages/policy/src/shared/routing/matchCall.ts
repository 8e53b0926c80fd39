/** Matches the method and path of a caller's request against the calls in the fleet configuration. */
import type { CallConfig } from '../fleet/index.ts'

function segmentsOf (path: string): readonly string[] {
  return path.split('/').slice(1)
}

function isSamePath (pattern: readonly string[], path: readonly string[]): boolean {
  if (pattern.length !== path.length) return false
  return pattern.every((part, index) => part === path[index] || (part === '*' && path[index] !== ''))
}

/**
 * Returns the configured call for a method and a path (with leading slash, without
 * query), or `undefined` if none matches. Of several matching calls, the one with
 * the fewest `*` segments is returned.
 */
export function matchCall (calls: readonly CallConfig[], method: string, path: string): CallConfig | undefined {
  const segments = segmentsOf(path)
  const matches = calls.filter(call => call.method === method && isSamePath(segmentsOf(call.path), segments))
  const wildcards = (call: CallConfig): number => segmentsOf(call.path).filter(part => part === '*').length
  return matches.toSorted((left, right) => wildcards(left) - wildcards(right))[0]
}
