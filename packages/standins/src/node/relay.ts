/** A TCP relay on loopback whose connections can be cut, to part one process from others. */
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'

export interface Relay {
  readonly url: string
  /** Sets where connections go; none are accepted before. */
  setTarget (url: string): void
  /** Breaks all connections and accepts none. */
  cut (): void
  /** Keeps all connections open without passing on a byte, as a middlebox does that lost track of them; new ones work. */
  silence (): void
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
  const pairs = new Set<Pair>()

  const server = createServer(near => {
    if (isCut || target === undefined) return near.destroy()
    const pair = { near, far: connect(Number(target.port), target.hostname) }
    pairs.add(pair)
    near.pipe(pair.far)
    pair.far.pipe(near)
    for (const socket of [near, pair.far]) {
      socket.on('error', () => { breakPair(pair) })
      socket.on('close', () => { breakPair(pair) })
    }
  })

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
      for (const { near, far } of pairs) {
        near.unpipe(far).pause()
        far.unpipe(near).pause()
      }
    },
    heal () { isCut = false },
    close () {
      for (const pair of pairs) breakPair(pair)
      return new Promise(resolve => { server.close(() => { resolve() }) })
    }
  }
}
