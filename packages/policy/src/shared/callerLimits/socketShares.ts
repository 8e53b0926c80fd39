/** Divides the sockets of a router's process among its listeners and its own connections, so that a crowd at one of them leaves the others room. */

export interface SocketShares {
  readonly callers: number
  readonly endpoints: number
  readonly peers: number
  readonly readiness: number
  readonly metrics: number
}

const callerShare = 0.45
const endpointShare = 0.3
/** Every other router of a large fleet may have several connections, one for each kind of message. */
const peerShare = 0.15
const operationsShare = 0.02
/** Enough for the check of readiness and a reader of the metrics in the smallest deployments. */
const minOperationsSockets = 8

/** Shares of `sockets`. The rest is left for the store and for calls of other routers. Without a known number there is no limit. */
export function socketShares (sockets: number | undefined): SocketShares {
  const count = sockets ?? Infinity
  const operations = Math.max(minOperationsSockets, Math.floor(count * operationsShare))
  return {
    callers: Math.floor(count * callerShare),
    endpoints: Math.floor(count * endpointShare),
    peers: Math.floor(count * peerShare),
    readiness: operations,
    metrics: operations
  }
}
