/** Bench `capacity`: slopes from which docs/CAPACITY.md is worked out. */
import { measureMessageSlopes } from './messageSlopes.ts'
import { measureRouterAtRest } from './routerAtRest.ts'
import { measureStateSlopes } from './stateSlopes.ts'

export async function benchCapacity () {
  const state = measureStateSlopes()
  const messages = await measureMessageSlopes()
  const routerAtRest = await measureRouterAtRest()
  return { state, messages, routerAtRest }
}
