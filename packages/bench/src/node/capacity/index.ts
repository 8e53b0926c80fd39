/** Bench `capacity`: measures the slopes from which docs/CAPACITY.md is calculated. */
import { measureMessageSlopes } from './messageSlopes.ts'
import { measureIdleRouter } from './idleRouter.ts'
import { measureStateSlopes } from './stateSlopes.ts'

export async function benchCapacity () {
  const state = measureStateSlopes()
  const messages = await measureMessageSlopes()
  const routerAtRest = await measureIdleRouter()
  return { state, messages, routerAtRest }
}
