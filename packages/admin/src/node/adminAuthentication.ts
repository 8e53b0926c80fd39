/** Finds the operator behind an administration key. */
import { createHash, timingSafeEqual } from 'node:crypto'
import type { AdminKey } from '../shared/adminKeys.ts'
import type { Operator } from './handlers/handlers.ts'

const scheme = 'Bearer '

/** Compares with every key, so that the time taken tells nothing about which one matched. */
export function findOperator (keys: readonly AdminKey[], authorization: string | null): Operator | undefined {
  const given = createHash('sha256').update(authorization?.startsWith(scheme) === true ? authorization.slice(scheme.length) : '').digest()
  const matching = keys.filter(key => timingSafeEqual(given, Buffer.from(key.hash, 'hex')))
  return matching[0] === undefined ? undefined : { name: matching[0].name }
}
