/** Matches the caller's method and path against the calls that the fleet text lists. */
import type { CallConfig } from '../fleet/index.ts'

function segmentsOf (path: string): readonly string[] {
  return path.split('/').slice(1)
}

function isSamePath (pattern: readonly string[], path: readonly string[]): boolean {
  if (pattern.length !== path.length) return false
  return pattern.every((part, index) => part === path[index] || (part === '*' && path[index] !== ''))
}

/**
 * The listed call for a method and a path (with leading slash, without query).
 * A literal segment is preferred to `*`; `undefined` when nothing matches.
 */
export function matchCall (calls: readonly CallConfig[], method: string, path: string): CallConfig | undefined {
  const segments = segmentsOf(path)
  const matches = calls.filter(call => call.method === method && isSamePath(segmentsOf(call.path), segments))
  const wildcards = (call: CallConfig): number => segmentsOf(call.path).filter(part => part === '*').length
  return matches.toSorted((left, right) => wildcards(left) - wildcards(right))[0]
}
