/** tRPC clients for the control listeners of router and endpoint processes. */
import { createTRPCClient, httpLink, type HTTPLinkOptions, type TRPCClient } from '@trpc/client'
import { request, type Dispatcher } from 'undici'
import type { EndpointControl } from './endpointControl.ts'
import type { RouterControl } from './routerControl.ts'

export interface ControlClientOptions {
  /** Base URL of the control listener, without a trailing slash. */
  readonly url: string
  readonly fleetSecret: string
  /** A call without a response after this time is aborted and fails. */
  readonly timeoutMs: number
  /** Undici dispatcher of the connections; the global one when omitted. */
  readonly dispatcher?: Dispatcher
}

/** Path of the tRPC handlers on control listeners. */
export const controlPath = '/trpc'

/** Responses with this status or a higher one are reported as failed. */
const firstFailureStatus = 300

type Fetch = NonNullable<HTTPLinkOptions<never>['fetch']>

/**
 * Creates a replacement for `fetch` that sends by `undici.request`. Unbatched
 * calls by `undici.request` take about a fifth of the CPU time of batched calls
 * by `fetch`, see the benchmark `capacity`. Frequent messages need no batching,
 * because each carries many items.
 */
function createFetch ({ timeoutMs, dispatcher }: ControlClientOptions): Fetch {
  return async (url, init) => {
    const response = await request(String(url), {
      method: (init?.method ?? 'GET') as Dispatcher.HttpMethod,
      headers: init?.headers as Record<string, string>,
      body: init?.body as string | undefined ?? null,
      signal: AbortSignal.timeout(timeoutMs),
      ...(dispatcher === undefined ? {} : { dispatcher })
    })
    return { ok: response.statusCode < firstFailureStatus, json: () => response.body.json() }
  }
}

function createLink (options: ControlClientOptions) {
  return httpLink({
    url: `${options.url}${controlPath}`,
    headers: { authorization: `Bearer ${options.fleetSecret}` },
    fetch: createFetch(options)
  })
}

export type RouterClient = TRPCClient<RouterControl>
export type EndpointClient = TRPCClient<EndpointControl>

/** Creates a client of a router's control listener. */
export function createRouterClient (options: ControlClientOptions): RouterClient {
  return createTRPCClient<RouterControl>({ links: [createLink(options)] })
}

/** Creates a client of the control API of an endpoint process, which shares a listener with the data API. */
export function createEndpointClient (options: ControlClientOptions): EndpointClient {
  return createTRPCClient<EndpointControl>({ links: [createLink(options)] })
}
