import { createServer, type ServerResponse } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import type { LimitReports } from '../limitReports.ts'
import { guardServer } from '../connectionGuard.ts'

const request = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n'

describe('guardServer', () => {
  let responses: ServerResponse[]
  let closed: number
  const recorded: string[] = []
  const reports = { record: (limit: string) => { recorded.push(limit) } } as unknown as LimitReports
  const server = guardServer(createServer(), (_, response) => {
    responses.push(response)
    response.on('close', () => { closed++ })
  }, { maxConnections: 10, limit: 'callerConnections', reports })

  beforeEach(async () => {
    responses = []
    closed = 0
    recorded.length = 0
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  })

  afterEach(() => {
    server.close()
    server.closeAllConnections()
  })

  async function until (condition: () => boolean): Promise<void> {
    for (let attempt = 0; attempt < 500 && !condition(); attempt++) await new Promise(resolve => { setTimeout(resolve, 10) })
    expect(condition()).toBe(true)
  }

  // Guards against requests behind an unanswered one that hold their memory for good after their caller has left.
  it('closes the responses that wait behind another one when the caller leaves', async () => {
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
    socket.write(request.repeat(3))
    await until(() => responses.length === 3)
    socket.destroy()
    await until(() => closed === 3)
  })

  it('closes each response once when all are answered', async () => {
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
    socket.resume()
    socket.write(request.repeat(3))
    await until(() => responses.length === 3)
    for (const response of responses) response.end('ok')
    await until(() => closed === 3)
    socket.destroy()
    await new Promise(resolve => { setTimeout(resolve, 50) })
    expect([closed, recorded]).toEqual([3, []])
  })

  it('closes a connection with more requests ahead than allowed, and all their responses', async () => {
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
    socket.on('error', () => {})
    socket.write(request.repeat(9))
    await until(() => recorded.length > 0)
    await until(() => closed === responses.length)
    expect(recorded).toEqual(['requestsAhead'])
  })
})
