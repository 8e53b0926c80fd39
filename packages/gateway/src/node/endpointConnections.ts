/**
 * Connection pool for one endpoint. Each connection carries one request at a
 * time. The least recently used idle connection is reused first, so that stray
 * bytes that an endpoint sends after a complete response arrive before the
 * connection is used again.
 */
import net from 'node:net'
import { Client } from 'undici'

/** Timeout of a connection attempt. Connecting takes a few ms, and a lost SYN packet is retransmitted only after a second. */
const connectTimeoutMs = 500
/** Delay after a connection broke before a new connection probes whether the endpoint still listens. */
const probeDelayMs = 30
/** Keep-alive timeout for connections whose endpoint announces none. */
const defaultIdleTimeoutMs = 700
/** Longest idle time after which a connection is still used for a request that must not run twice. */
const maxReuseIdleMs = 1000
/** Idle connections are closed this long before the keep-alive timeout that the endpoint announces. */
const keepAliveMarginMs = 400

type ProbeResult = 'listening' | 'refused' | 'unknown'

export interface Connection {
  readonly client: Client
  /** Whether the socket ended with an error, such as a reset. */
  isReset (): boolean
  /** Whether the TCP connection was established. */
  isConnected (): boolean
  /** Whether the current socket carried another request before. */
  wasUsed (): boolean
  /** Bytes received on the current socket so far. */
  readBytes (): number
  /** Called whenever bytes have arrived, also those that the HTTP client consumes without reporting them. */
  onReadable: (() => void) | undefined
}

/** Connections to all endpoints together. */
export interface ConnectionQuota {
  readonly limit: number
  openCount: number
}

interface PooledConnection extends Connection {
  /** Counts a request that has ended on the current socket. */
  countRequest (): void
  isBusy: boolean
  lastUsedMs: number
  isClosed: boolean
}

export class EndpointConnections {
  readonly #origin: string
  readonly #host: string
  readonly #port: number
  readonly #idle: PooledConnection[] = []
  #openCount = 0
  #pendingProbe: Promise<ProbeResult> | undefined

  readonly #onSocket: (socket: net.Socket) => void
  readonly #quota: ConnectionQuota

  /** `onSocket` is called with each socket that is opened. */
  constructor (address: string, onSocket: (socket: net.Socket) => void, quota: ConnectionQuota) {
    this.#quota = quota
    this.#onSocket = onSocket
    const colon = address.lastIndexOf(':')
    this.#host = address.slice(0, colon)
    this.#port = Number(address.slice(colon + 1))
    this.#origin = `http://${address}`
  }

  /** Number of connections that are open or being opened. */
  get openCount (): number {
    return this.#openCount
  }

  get idleCount (): number {
    return this.#idle.length
  }

  /**
   * Returns a connection for one request. A request that must not run twice gets
   * a recently used or a new one: an endpoint may have closed an idle connection,
   * and after a reset nobody knows whether the request ran.
   */
  acquire (isRepeatable: boolean): Connection {
    const pooled = isRepeatable ? this.#idle.shift() : this.#takeRecent()
    if (pooled === undefined) return this.#create()
    pooled.isBusy = true
    return pooled
  }

  /** Whether `acquire` returns a connection without exceeding the quota. */
  mayAcquire (isRepeatable: boolean): boolean {
    if (this.#quota.openCount < this.#quota.limit) return true
    return isRepeatable ? this.#idle.length > 0 : this.#isRecent(this.#idle.at(-1))
  }

  /** Closes the connection that has been idle longest. Returns false if none is idle. */
  closeIdle (): boolean {
    const pooled = this.#idle[0]
    if (pooled !== undefined) this.#close(pooled)
    return pooled !== undefined
  }

  #isRecent (pooled: PooledConnection | undefined): boolean {
    return pooled !== undefined && performance.now() - pooled.lastUsedMs <= maxReuseIdleMs
  }

  #takeRecent (): PooledConnection | undefined {
    const pooled = this.#idle.at(-1)
    if (!this.#isRecent(pooled)) return undefined
    this.#idle.pop()
    return pooled
  }

  /** Returns a connection to the pool, or closes it when it is not reusable. */
  release (connection: Connection, isReusable: boolean): void {
    const pooled = connection as PooledConnection
    pooled.isBusy = false
    pooled.countRequest()
    pooled.onReadable = undefined
    pooled.lastUsedMs = performance.now()
    if (pooled.isClosed) return
    if (isReusable) this.#idle.push(pooled)
    else this.#close(pooled)
  }

  /** Whether the endpoint may accept connections, probed shortly after a connection broke. Concurrent callers share one probe. Only a refused connection shows that nothing listens. */
  async mayListen (): Promise<boolean> {
    this.#pendingProbe ??= this.#probe().finally(() => { this.#pendingProbe = undefined })
    return await this.#pendingProbe !== 'refused'
  }

  /**
   * Whether the endpoint is known to run after one of its connections ended. Data on another connection would not show
   * it, because it may have been sent before a crash. Each end is confirmed by a probe of its own that begins after it.
   */
  async confirmListening (): Promise<boolean> {
    return await this.#probe() === 'listening'
  }

  async #probe (): Promise<ProbeResult> {
    // A crashing process closes its connections before its listener, so a probe without delay could still succeed.
    await new Promise(resolve => { setTimeout(resolve, probeDelayMs) })
    return await new Promise(resolve => {
      const socket = net.connect({ host: this.#host, port: this.#port, timeout: connectTimeoutMs })
      const finish = (result: ProbeResult): void => {
        resolve(result)
        socket.destroy()
      }
      socket.once('connect', () => { finish('listening') })
      socket.once('timeout', () => { finish('unknown') })
      socket.once('error', error => { finish((error as NodeJS.ErrnoException).code === 'ECONNREFUSED' ? 'refused' : 'unknown') })
    })
  }

  destroy (): void {
    for (const pooled of this.#idle.splice(0)) this.#close(pooled)
  }

  #close (pooled: PooledConnection): void {
    if (pooled.isClosed) return
    pooled.isClosed = true
    this.#openCount--
    this.#quota.openCount--
    const index = this.#idle.indexOf(pooled)
    if (index !== -1) this.#idle.splice(index, 1)
    void pooled.client.destroy()
  }

  #create (): Connection {
    let socket: net.Socket | undefined
    let wasReset = false
    let wasConnected = false
    let requests = 0
    const client = new Client(this.#origin, {
      pipelining: 1,
      keepAliveTimeout: defaultIdleTimeoutMs,
      keepAliveTimeoutThreshold: keepAliveMarginMs,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (_options, callback) => {
        wasConnected = false
        wasReset = false
        requests = 0
        const opened = net.connect({ host: this.#host, port: this.#port, noDelay: true })
        socket = opened
        this.#onSocket(opened)
        const timer = setTimeout(() => { opened.destroy(new Error('connection timed out')) }, connectTimeoutMs)
        const onError = (error: Error): void => {
          clearTimeout(timer)
          callback(error, null)
        }
        opened.once('error', onError)
        opened.once('connect', () => {
          clearTimeout(timer)
          wasConnected = true
          opened.off('error', onError)
          // Registered before the listener of the client, so that a reset is known before the client reports the end of the response.
          opened.on('error', () => { wasReset = true })
          opened.on('readable', () => { pooled.onReadable?.() })
          callback(null, opened)
        })
      }
    })
    const pooled: PooledConnection = {
      client,
      isBusy: true,
      lastUsedMs: 0,
      isClosed: false,
      isReset: () => wasReset || socket?.errored != null,
      isConnected: () => wasConnected,
      wasUsed: () => requests > 0,
      countRequest: () => { requests++ },
      readBytes: () => socket?.bytesRead ?? 0,
      onReadable: undefined
    }
    this.#openCount++
    this.#quota.openCount++
    client.on('disconnect', () => {
      // The HTTP client is closed, because it would reconnect by itself. A new client costs no more and starts in a known state.
      if (!pooled.isBusy) this.#close(pooled)
    })
    return pooled
  }
}
