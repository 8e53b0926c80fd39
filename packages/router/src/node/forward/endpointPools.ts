/** Connections to endpoint processes: one pool for each life of an endpoint process. */
import { Client, Pool } from 'undici'
import type { Member } from '@buckthorndrift/protocol'

export interface EndpointPoolsOptions {
  readonly connectTimeoutMs: number
}

/** Idle connections are closed sooner than the endpoint process closes them, so that no request meets a closing one. */
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

  /** The pool of an endpoint process. */
  get (endpoint: Member): Pool {
    const key = poolKey(endpoint)
    const known = this.#pools.get(key)
    if (known !== undefined) return known
    const pool = new Pool(new URL(endpoint.controlUrl).origin, this.#clientOptions())
    this.#pools.set(key, pool)
    return pool
  }

  /** A connection of its own, for re-attaching when those of the pool may be silent. */
  fresh (endpoint: Member): Client {
    return new Client(new URL(endpoint.controlUrl).origin, this.#clientOptions())
  }

  /** Puts new requests on new connections; exchanges on the old ones go on. */
  renew (endpoint: Member): void {
    const key = poolKey(endpoint)
    const pool = this.#pools.get(key)
    if (pool === undefined) return
    this.#pools.delete(key)
    pool.close().catch(() => {})
  }

  /** Closes the pools of endpoint processes that are not listed any more, when their exchanges end. */
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
