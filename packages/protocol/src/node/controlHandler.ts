/** Serves a tRPC router to a server that uses Fetch API requests and responses, such as h3, and checks the fleet secret. */
import { createHash, timingSafeEqual } from 'node:crypto'
import { type AnyTRPCRouter } from '@trpc/server'
import { fetchRequestHandler } from '@trpc/server/adapters/fetch'
import { controlPath } from './clients.ts'
import type { ControlContext } from './trpc.ts'

function sha256 (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}

/** Compares secrets in constant time. They are hashed first, because `timingSafeEqual` needs equal lengths. */
export function isSameSecret (given: string, expected: string): boolean {
  return timingSafeEqual(sha256(given), sha256(expected))
}

/** Whether an `authorization` header carries the fleet secret as a bearer token. */
export function hasFleetSecret (authorization: string | null | undefined, fleetSecret: string): boolean {
  return isSameSecret(authorization ?? '', `Bearer ${fleetSecret}`)
}

/** Creates the handler of tRPC requests below `controlPath`. */
export function createControlHandler (router: AnyTRPCRouter, fleetSecret: string): (request: Request) => Promise<Response> {
  return request => fetchRequestHandler({
    endpoint: controlPath,
    req: request,
    router,
    createContext: (): ControlContext => ({ isFleetMember: hasFleetSecret(request.headers.get('authorization'), fleetSecret) })
  })
}
