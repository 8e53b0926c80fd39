/** Connection pools, one for each incarnation of an endpoint process. */
import { Client, Pool } from 'undici'
import type { Member } from '@buckthorndrift/protocol'

export interface EndpointPoolsOptions {
  readonly connectTimeoutMs: number
}

/** Shorter than the idle timeout of endpoint processes, so that no request is sent on a connection that the endpoint process is closing. */
const keepAliveTimeoutMs = 4000

function poolKey (endpoint: Member): string {
  return `${endpoint.id} ${endpoint.incarnation} ${endpoint.controlUrl}`
}

export class EndpointPools {
  readonly #options: EndpointPoolsOptions
  readonly #pools = new Map<string, Pool>()

  constructor (options: EndpointPoolsOptions) {
    this.#options = options
  }

  /** The pool of an endpoint process, created at the first use. */
  get (endpoint: Member): Pool {
    const key = poolKey(endpoint)
    const existing = this.#pools.get(key)
    if (existing !== undefined) return existing
    const pool = new Pool(new URL(endpoint.controlUrl).origin, this.#clientOptions())
    this.#pools.set(key, pool)
    return pool
  }

  /** Creates a connection outside the pool, for reattaching when the pooled connections may be silent. */
  createClient (endpoint: Member): Client {
    return new Client(new URL(endpoint.controlUrl).origin, this.#clientOptions())
  }

  /** Makes new requests use new connections; exchanges in flight on the old ones continue. */
  replacePool (endpoint: Member): void {
    const key = poolKey(endpoint)
    const pool = this.#pools.get(key)
    if (pool === undefined) return
    this.#pools.delete(key)
    pool.close().catch(() => {})
  }

  /** Closes the pools of endpoint processes that are not in `endpoints`, once their exchanges have ended. */
  retain (endpoints: readonly Member[]): void {
    const kept = new Set(endpoints.map(poolKey))
    for (const [key, pool] of this.#pools) {
      if (kept.has(key)) continue
      this.#pools.delete(key)
      pool.close().catch(() => {})
    }
  }

  async close (): Promise<void> {
    await Promise.all([...this.#pools.values()].map(pool => pool.destroy()))
    this.#pools.clear()
  }

  #clientOptions () {
    return {
      pipelining: 1,
      keepAliveTimeout: keepAliveTimeoutMs,
      connect: { timeout: this.#options.connectTimeoutMs }
    }
  }
}
