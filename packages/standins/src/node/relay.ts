/** A TCP relay on loopback whose connections can be cut, to part one process from others. */
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { Transform } from 'node:stream'

export type RelayDirection = 'toTarget' | 'fromTarget'

export interface Relay {
  readonly url: string
  /** Sets where connections go; none are accepted before. */
  setTarget (url: string): void
  /** Breaks all connections and accepts none. */
  cut (): void
  /** Keeps all connections open without passing on a byte, as a middlebox does that lost track of them; new ones work. */
  silence (): void
  /** The same for one direction only. */
  silenceOneWay (direction: RelayDirection): void
  /** Holds back each piece of data for this long; 0 ends it. */
  delay (delayMs: number): void
  /** Accepts connections again. */
  heal (): void
  close (): Promise<void>
}

interface Pair {
  readonly near: Socket
  readonly far: Socket
}

/** Starts a relay. */
export async function startRelay (targetUrl?: string): Promise<Relay> {
  let target = targetUrl === undefined ? undefined : new URL(targetUrl)
  let isCut = false
  let delayMs = 0
  const pairs = new Set<Pair>()

  const server = createServer(near => {
    if (isCut || target === undefined) return near.destroy()
    const pair = { near, far: connect(Number(target.port), target.hostname) }
    pairs.add(pair)
    near.pipe(delayed()).pipe(pair.far)
    pair.far.pipe(delayed()).pipe(near)
    for (const socket of [near, pair.far]) {
      socket.on('error', () => { breakPair(pair) })
      socket.on('close', () => { breakPair(pair) })
    }
  })

  function delayed (): Transform {
    return new Transform({
      transform (chunk, _encoding, done) {
        if (delayMs === 0) done(null, chunk)
        else setTimeout(() => { done(null, chunk) }, delayMs)
      }
    })
  }

  function silenceOneWay (direction: RelayDirection): void {
    for (const { near, far } of pairs) (direction === 'toTarget' ? near : far).unpipe().pause()
  }

  function breakPair (pair: Pair): void {
    pairs.delete(pair)
    pair.near.destroy()
    pair.far.destroy()
  }

  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return {
    url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    setTarget (url) { target = new URL(url) },
    cut () {
      isCut = true
      for (const pair of pairs) breakPair(pair)
    },
    silence () {
      silenceOneWay('toTarget')
      silenceOneWay('fromTarget')
    },
    silenceOneWay,
    delay (newDelayMs) { delayMs = newDelayMs },
    heal () { isCut = false },
    close () {
      for (const pair of pairs) breakPair(pair)
      return new Promise(resolve => { server.close(() => { resolve() }) })
    }
  }
}
