/** Authenticates operators by administration key. */
import { createHash, timingSafeEqual } from 'node:crypto'
import type { AdminKey } from '../shared/adminKeys.ts'
import type { Operator } from './handlers/handlers.ts'

const bearerPrefix = 'Bearer '

/** Returns the operator whose key is in the `Authorization` header. Compares with every key, so that the response time does not reveal which one matched. */
export function findOperator (keys: readonly AdminKey[], authorization: string | null): Operator | undefined {
  const presentedHash = createHash('sha256').update(authorization?.startsWith(bearerPrefix) === true ? authorization.slice(bearerPrefix.length) : '').digest()
  const matching = keys.filter(key => timingSafeEqual(presentedHash, Buffer.from(key.hash, 'hex')))
  return matching[0] === undefined ? undefined : { name: matching[0].name }
}
