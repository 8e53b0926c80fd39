/** Fails the type check when a switch over a union misses a case. */
export function assertNever (value: never): never {
  throw new Error(`unexpected case: ${JSON.stringify(value)}`)
}
