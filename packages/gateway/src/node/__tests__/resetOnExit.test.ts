import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { setResetOnExit } from '../resetOnExit.ts'

// Guards against a connection whose usual close is taken for the end of a response, and against a reset that destroys the end of a whole one.
describe('setResetOnExit', () => {
  let server: Server
  let accepted: Promise<Socket>
  let ending: Promise<string>

  beforeEach(async () => {
    server = createServer()
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    accepted = new Promise(resolve => { server.once('connection', resolve) })
    const caller = connect((server.address() as AddressInfo).port, '127.0.0.1')
    caller.resume()
    ending = new Promise(resolve => {
      caller.on('error', error => { resolve((error as NodeJS.ErrnoException).code ?? error.message) })
      caller.on('end', () => { resolve('end') })
    })
  })

  afterEach(() => { server.close() })

  it('makes the operating system reset the connection in place of closing it', async () => {
    const socket = await accepted
    expect(setResetOnExit(socket, true)).toBe(true)
    socket.destroy()
    expect(await ending).toBe('ECONNRESET')
  })

  it('lets it be closed in the usual way again', async () => {
    const socket = await accepted
    setResetOnExit(socket, true)
    expect(setResetOnExit(socket, false)).toBe(true)
    socket.end('the end of a response')
    expect(await ending).toBe('end')
  })

  it('tells when a socket is closed already or missing', async () => {
    const socket = await accepted
    socket.destroy()
    expect([setResetOnExit(socket, true), setResetOnExit(null, true)]).toEqual([false, false])
  })
})
