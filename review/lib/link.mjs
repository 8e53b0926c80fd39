/** The link of one machine to the store: a proxy that passes all bytes on, or none while it is cut. */
import net from 'node:net'

export class Link {
  #isCut = false
  #sockets = new Set()
  #server

  constructor (storePort) {
    this.#server = net.createServer(near => {
      const far = net.connect(storePort, '127.0.0.1')
      this.#join(near, far)
      this.#join(far, near)
    })
  }

  async start () {
    await new Promise(resolve => { this.#server.listen(0, '127.0.0.1', resolve) })
    return this.#server.address().port
  }

  /** Nothing gets through in either direction, and no connection is closed. */
  cut () {
    this.#isCut = true
  }

  /** The link works again. What was held up is lost with its connections. */
  heal () {
    this.#isCut = false
    for (const socket of this.#sockets) socket.destroy()
  }

  stop () {
    this.heal()
    this.#server.close()
  }

  #join (from, to) {
    this.#sockets.add(from)
    from.on('error', () => {})
    from.on('data', chunk => { if (!this.#isCut && !to.destroyed) to.write(chunk) })
    from.on('close', () => {
      this.#sockets.delete(from)
      if (!this.#isCut) to.destroy()
    })
  }
}
