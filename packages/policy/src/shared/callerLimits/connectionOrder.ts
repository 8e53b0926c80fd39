/**
 * Limits the open connections of a listener. When the limit is reached, a new connection takes the place of the one
 * that has been without a request longest, or, if there is none, of the one that was answered longest ago among those
 * whose requests are still arriving.
 */

/** Requests of one connection that may wait for their answers. A caller that sends more ahead does not read its answers. */
export const maxRequestsAhead = 4

interface OpenConnection<Connection> {
  readonly connection: Connection
  openRequests: number
  /** Open requests that have been read whole, so that they may run. */
  readRequests: number
}

export class ConnectionOrder<Connection extends object> {
  readonly limit: number
  /** Sorted by the time of the last answer or, before the first one, of the connection. */
  readonly #open = new Map<Connection, OpenConnection<Connection>>()

  constructor (limit: number) {
    this.limit = limit
  }

  get openCount (): number {
    return this.#open.size
  }

  /** Admits a new connection. Returns the connection to close for it, which may be the new one, or `undefined` while there is room. */
  add (connection: Connection): Connection | undefined {
    const victim = this.#open.size < this.limit ? undefined : this.#longest(entry => entry.openRequests === 0) ?? this.#longest(entry => entry.readRequests === 0) ?? connection
    if (victim !== undefined) this.#open.delete(victim)
    if (victim !== connection) this.#open.set(connection, { connection, openRequests: 0, readRequests: 0 })
    return victim
  }

  remove (connection: Connection): void {
    this.#open.delete(connection)
  }

  /** Counts a request. Returns false if too many of its connection wait for their answers. */
  beginRequest (connection: Connection): boolean {
    const entry = this.#open.get(connection)
    if (entry === undefined) return false
    entry.openRequests++
    return entry.openRequests <= maxRequestsAhead
  }

  /** Records that a request has been read whole. Its connection is not closed for others from now on. */
  recordRead (connection: Connection): void {
    const entry = this.#open.get(connection)
    if (entry !== undefined) entry.readRequests++
  }

  endRequest (connection: Connection, wasRead: boolean): void {
    const entry = this.#open.get(connection)
    if (entry === undefined) return
    entry.openRequests--
    if (wasRead) entry.readRequests--
    this.#open.delete(connection)
    this.#open.set(connection, entry)
  }

  #longest (mayClose: (entry: OpenConnection<Connection>) => boolean): Connection | undefined {
    for (const entry of this.#open.values()) if (mayClose(entry)) return entry.connection
    return undefined
  }
}
