/** TCP relay on loopback that simulates network faults between two processes. */
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { Transform } from 'node:stream'

/** Direction of the data that a relay passes on. */
export type RelayDirection = 'toTarget' | 'fromTarget'

export interface Relay {
  readonly url: string
  /** Sets the URL that new connections go to. The relay closes new connections at once while it has no target. */
  setTarget (url: string): void
  /** Breaks all connections, and closes new ones at once until `heal` is called. */
  cut (): void
  /** Keeps the existing connections open but passes on no more data, as a middlebox does that lost its connection state. New connections work. */
  silence (): void
  /** Does the same as `silence` for one direction only. */
  silenceOneWay (direction: RelayDirection): void
  /** Delays each chunk of data by this time; 0 ends the delay. */
  delay (delayMs: number): void
  /** Accepts connections again after `cut`. */
  heal (): void
  close (): Promise<void>
}

interface RelayedConnection {
  readonly client: Socket
  readonly upstream: Socket
}

/** Starts a relay to `targetUrl`, which can also be set later. */
export async function startRelay (targetUrl?: string): Promise<Relay> {
  let target = targetUrl === undefined ? undefined : new URL(targetUrl)
  let isCut = false
  let delayMs = 0
  const connections = new Set<RelayedConnection>()

  const server = createServer(client => {
    if (isCut || target === undefined) return client.destroy()
    const connection = { client, upstream: connect(Number(target.port), target.hostname) }
    connections.add(connection)
    client.pipe(createDelayStream()).pipe(connection.upstream)
    connection.upstream.pipe(createDelayStream()).pipe(client)
    for (const socket of [client, connection.upstream]) {
      socket.on('error', () => { breakConnection(connection) })
      socket.on('close', () => { breakConnection(connection) })
    }
  })

  function createDelayStream (): Transform {
    return new Transform({
      transform (chunk, _encoding, done) {
        if (delayMs === 0) done(null, chunk)
        else setTimeout(() => { done(null, chunk) }, delayMs)
      }
    })
  }

  function silenceOneWay (direction: RelayDirection): void {
    for (const { client, upstream } of connections) (direction === 'toTarget' ? client : upstream).unpipe().pause()
  }

  function breakConnection (connection: RelayedConnection): void {
    connections.delete(connection)
    connection.client.destroy()
    connection.upstream.destroy()
  }

  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return {
    url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    setTarget (url) { target = new URL(url) },
    cut () {
      isCut = true
      for (const connection of connections) breakConnection(connection)
    },
    silence () {
      silenceOneWay('toTarget')
      silenceOneWay('fromTarget')
    },
    silenceOneWay,
    delay (newDelayMs) { delayMs = newDelayMs },
    heal () { isCut = false },
    close () {
      for (const connection of connections) breakConnection(connection)
      return new Promise(resolve => { server.close(() => { resolve() }) })
    }
  }
}
