/** tRPC clients between the processes of the fleet. */
import { createTRPCClient, httpBatchLink, type TRPCClient } from '@trpc/client'
import { fetch as undiciFetch, type Dispatcher } from 'undici'
import type { EndpointControl } from './endpointControl.ts'
import type { RouterControl } from './routerControl.ts'

export interface ControlClientOptions {
  /** Base URL of the control listener, without a trailing slash. */
  readonly url: string
  readonly fleetSecret: string
  /** A call without an answer after this time fails and its connection is left. */
  readonly timeoutMs: number
  readonly dispatcher?: Dispatcher
}

/** Path of the tRPC handlers on control listeners. */
export const controlPath = '/trpc'

/** Most bytes of a batched control URL; longer batches are split. */
const maxUrlBytes = 4096

function linkFor (options: ControlClientOptions) {
  return httpBatchLink({
    url: `${options.url}${controlPath}`,
    maxURLLength: maxUrlBytes,
    headers: { authorization: `Bearer ${options.fleetSecret}` },
    fetch: (url, init) => undiciFetch(url as string, {
      ...init as object,
      signal: AbortSignal.timeout(options.timeoutMs),
      ...(options.dispatcher === undefined ? {} : { dispatcher: options.dispatcher })
    }) as never
  })
}

export type RouterClient = TRPCClient<RouterControl>
export type EndpointClient = TRPCClient<EndpointControl>

/** Client of a router's control listener. */
export function createRouterClient (options: ControlClientOptions): RouterClient {
  return createTRPCClient<RouterControl>({ links: [linkFor(options)] })
}

/** Client of an endpoint process's control part. */
export function createEndpointClient (options: ControlClientOptions): EndpointClient {
  return createTRPCClient<EndpointControl>({ links: [linkFor(options)] })
}
