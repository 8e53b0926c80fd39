/** Exhaustiveness check: a switch over a union that misses a case fails to compile. */
export function assertNever (value: never): never {
  throw new Error(`unhandled case: ${JSON.stringify(value)}`)
}
