/** Watches the queue of connections that wait to be accepted, and closes them unread while it does not empty. */
import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import type { Log, TimerService, Unsubscribe } from '@buckthorndrift/kernel'
import { StandingQueue } from '@buckthorndrift/policy'
import type { GatewayMetrics } from './gatewayMetrics.ts'

export interface AcceptQueueOptions {
  readonly server: Server
  readonly timers: TimerService
  readonly log: Log
  readonly metrics: GatewayMetrics
}

const reportIntervalMs = 1000

type ConnectionListener = (socket: Socket) => void

export class AcceptQueue {
  readonly #options: AcceptQueueOptions
  readonly #queue = new StandingQueue()
  readonly #stopReporting: Unsubscribe
  /** Connections that were taken so far. */
  #taken = 0
  /** `#taken` at the end of the last turn of the event loop. */
  #takenBefore = 0
  #isWatching = false
  #shedSinceReport = 0

  /** Takes the place of the listeners that the server has for connections, and calls them for those that are not shed. */
  constructor (options: AcceptQueueOptions) {
    this.#options = options
    const { server, timers } = options
    const listeners = server.listeners('connection') as ConnectionListener[]
    server.removeAllListeners('connection')
    server.on('connection', socket => { if (this.#admit(socket)) for (const listener of listeners) listener.call(server, socket) })
    this.#stopReporting = timers.every(reportIntervalMs, () => { this.#report() })
  }

  stop (): void {
    this.#stopReporting()
  }

  #admit (socket: Socket): boolean {
    this.#taken++
    if (!this.#isWatching) this.#watch()
    if (!this.#queue.recordTaken(this.#options.timers.monotonicMs())) return true
    socket.resetAndDestroy()
    this.#shedSinceReport++
    this.#options.metrics.shedConnections.inc()
    return false
  }

  /** The event loop takes at most one connection in each turn, so a turn that takes none has found the queue empty. */
  #watch (): void {
    this.#isWatching = true
    setImmediate(() => {
      this.#isWatching = this.#taken > this.#takenBefore
      this.#takenBefore = this.#taken
      if (this.#isWatching) this.#watch()
      else this.#queue.recordEmpty()
    })
  }

  #report (): void {
    if (this.#shedSinceReport === 0) return
    this.#options.log.event('connectionsShed', { connections: this.#shedSinceReport })
    this.#shedSinceReport = 0
  }
}
