/**
 * Connections to one endpoint. Each carries one request at a time; the idle one
 * that was used longest ago goes first, so that bytes that an endpoint sends
 * after a complete answer have arrived before the connection is used again.
 */
import net from 'node:net'
import { Client } from 'undici'

/** Connecting takes a few ms; a dropped opening packet is sent again only after a second. */
const connectTimeoutMs = 500
const afterBreakMs = 30
/** Idle time of a connection whose endpoint states no timeout. */
const idleTimeoutMs = 700
/** Idle time up to which a connection carries a request that cannot be repeated. */
const recentMs = 1000
/** Margin below the idle timeout that an endpoint states. */
const idleMarginMs = 400

export interface Connection {
  readonly client: Client
  /** Whether the socket ended with an error, such as a reset. */
  isReset (): boolean
  /** Whether the TCP connection was established. */
  isConnected (): boolean
}

interface Slot extends Connection {
  isBusy: boolean
  usedMs: number
  isClosed: boolean
}

export class EndpointConnections {
  readonly #origin: string
  readonly #host: string
  readonly #port: number
  readonly #idle: Slot[] = []
  #open = 0
  #listening: Promise<boolean> | undefined

  readonly #onSocket: (socket: net.Socket) => void

  /** `onSocket` is told of each connection that is opened. */
  constructor (address: string, onSocket: (socket: net.Socket) => void) {
    this.#onSocket = onSocket
    const colon = address.lastIndexOf(':')
    this.#host = address.slice(0, colon)
    this.#port = Number(address.slice(colon + 1))
    this.#origin = `http://${address}`
  }

  /** Connections that are open or opening. */
  get open (): number {
    return this.#open
  }

  get idle (): number {
    return this.#idle.length
  }

  /**
   * A connection for one request. For a request that cannot be repeated only a
   * recently used one will do: an endpoint may have dropped an idle connection,
   * and a reset leaves open whether the request ran.
   */
  acquire (isRepeatable: boolean): Connection {
    const slot = isRepeatable ? this.#idle.shift() : this.#takeRecent()
    if (slot === undefined) return this.#create()
    slot.isBusy = true
    return slot
  }

  #takeRecent (): Slot | undefined {
    const slot = this.#idle.at(-1)
    if (slot === undefined || performance.now() - slot.usedMs > recentMs) return undefined
    this.#idle.pop()
    return slot
  }

  /** Gives a connection back; one that is not reusable is closed. */
  release (connection: Connection, isReusable: boolean): void {
    const slot = connection as Slot
    slot.isBusy = false
    slot.usedMs = performance.now()
    if (slot.isClosed) return
    if (isReusable) this.#idle.push(slot)
    else this.#close(slot)
  }

  /** Whether the endpoint takes connections, asked a moment after one of them broke. One question at a time. */
  async isListening (): Promise<boolean> {
    this.#listening ??= this.#askListening().finally(() => { this.#listening = undefined })
    return await this.#listening
  }

  async #askListening (): Promise<boolean> {
    // A process that dies closes its connections before its listener.
    await new Promise(resolve => { setTimeout(resolve, afterBreakMs) })
    return await new Promise(resolve => {
      const socket = net.connect({ host: this.#host, port: this.#port, timeout: connectTimeoutMs })
      const finish = (isListening: boolean): void => {
        resolve(isListening)
        socket.destroy()
      }
      socket.once('connect', () => { finish(true) })
      // Without an answer nothing is known; only a refusal tells that nothing listens.
      socket.once('timeout', () => { finish(true) })
      socket.once('error', error => { finish((error as NodeJS.ErrnoException).code !== 'ECONNREFUSED') })
    })
  }

  destroy (): void {
    for (const slot of this.#idle.splice(0)) this.#close(slot)
  }

  #close (slot: Slot): void {
    if (slot.isClosed) return
    slot.isClosed = true
    this.#open--
    const index = this.#idle.indexOf(slot)
    if (index !== -1) this.#idle.splice(index, 1)
    void slot.client.destroy()
  }

  #create (): Connection {
    let socket: net.Socket | undefined
    let wasReset = false
    let wasConnected = false
    const client = new Client(this.#origin, {
      pipelining: 1,
      keepAliveTimeout: idleTimeoutMs,
      keepAliveTimeoutThreshold: idleMarginMs,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (_options, callback) => {
        wasConnected = false
        wasReset = false
        const opened = net.connect({ host: this.#host, port: this.#port, noDelay: true })
        socket = opened
        this.#onSocket(opened)
        const timer = setTimeout(() => { opened.destroy(new Error('connecting timed out')) }, connectTimeoutMs)
        const onError = (error: Error): void => {
          clearTimeout(timer)
          callback(error, null)
        }
        opened.once('error', onError)
        opened.once('connect', () => {
          clearTimeout(timer)
          wasConnected = true
          opened.off('error', onError)
          // Registered before the client's own listener, so that the end of an answer can be told from a reset.
          opened.on('error', () => { wasReset = true })
          callback(null, opened)
        })
      }
    })
    const slot: Slot = {
      client,
      isBusy: true,
      usedMs: 0,
      isClosed: false,
      isReset: () => wasReset || socket?.errored != null,
      isConnected: () => wasConnected
    }
    this.#open++
    client.on('disconnect', () => {
      // A client reconnects by itself; a fresh one is as cheap and starts with known state.
      if (!slot.isBusy) this.#close(slot)
    })
    return slot
  }
}
