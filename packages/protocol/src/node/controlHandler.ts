/** Serves a control router on a fetch-style listener such as h3. */
import { createHash, timingSafeEqual } from 'node:crypto'
import { type AnyTRPCRouter } from '@trpc/server'
import { fetchRequestHandler } from '@trpc/server/adapters/fetch'
import { controlPath } from './clients.ts'
import type { ControlContext } from './trpc.ts'

function digest (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}

/** Compares a secret in constant time; the hash makes the lengths equal. */
export function isSameSecret (given: string, expected: string): boolean {
  return timingSafeEqual(digest(given), digest(expected))
}

/** Whether an `authorization` header carries the fleet secret. */
export function hasFleetSecret (authorization: string | null | undefined, fleetSecret: string): boolean {
  return isSameSecret(authorization ?? '', `Bearer ${fleetSecret}`)
}

/** Answers tRPC requests below `controlPath`. */
export function createControlHandler (router: AnyTRPCRouter, fleetSecret: string): (request: Request) => Promise<Response> {
  return request => fetchRequestHandler({
    endpoint: controlPath,
    req: request,
    router,
    createContext: (): ControlContext => ({ isFleetMember: hasFleetSecret(request.headers.get('authorization'), fleetSecret) })
  })
}
