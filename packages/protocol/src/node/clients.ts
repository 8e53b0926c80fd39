/** tRPC clients between the processes of the fleet. */
import { createTRPCClient, httpLink, type HTTPLinkOptions, type TRPCClient } from '@trpc/client'
import { request, type Dispatcher } from 'undici'
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

const firstErrorStatus = 300

type Fetch = NonNullable<HTTPLinkOptions<never>['fetch']>

/**
 * Sends control calls by `undici.request`. Together with unbatched calls it
 * costs about a fifth of the processor time of `fetch` and batches, see the
 * bench `capacity`; messages that come often carry many items themselves.
 */
function requestWith ({ timeoutMs, dispatcher }: ControlClientOptions): Fetch {
  return async (url, init) => {
    const response = await request(String(url), {
      method: (init?.method ?? 'GET') as Dispatcher.HttpMethod,
      headers: init?.headers as Record<string, string>,
      body: init?.body as string | undefined ?? null,
      signal: AbortSignal.timeout(timeoutMs),
      ...(dispatcher === undefined ? {} : { dispatcher })
    })
    return { ok: response.statusCode < firstErrorStatus, json: () => response.body.json() }
  }
}

function linkFor (options: ControlClientOptions) {
  return httpLink({
    url: `${options.url}${controlPath}`,
    headers: { authorization: `Bearer ${options.fleetSecret}` },
    fetch: requestWith(options)
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
