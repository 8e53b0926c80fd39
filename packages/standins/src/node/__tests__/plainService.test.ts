import { afterEach, describe, expect, it } from 'vitest'
import { startPlainService, type PlainService } from '../../index.ts'

describe('plain service stand-in', () => {
  let service: PlainService
  afterEach(() => service.close())

  const book = (id: string): Promise<Response> => fetch(`${service.url}/bookings`, { method: 'POST', body: JSON.stringify({ id }) })

  it('counts how many times a booking ran, also when its response was lost', async () => {
    service = await startPlainService({ delayMs: 1 })
    expect((await book('b1')).status).toBe(201)
    service.setFaults({ lostReplyShare: 1 })
    await expect(book('b1')).rejects.toThrow()
    service.setFaults({ lostReplyShare: 0, failureShare: 1 })
    expect((await book('b2')).status).toBe(500)
    expect(service.runs()).toEqual({ b1: 2 })
  })

  it('returns the same chamber reading each time', async () => {
    service = await startPlainService({ delayMs: 1 })
    const read = async (): Promise<unknown> => (await fetch(`${service.url}/chambers/c1`)).json()
    expect(await read()).toEqual(await read())
  })

  it('fails only on the route that the bad version is limited to', async () => {
    service = await startPlainService({ delayMs: 1 })
    service.setFaults({ badVersion: { failureShare: 1, onlyRoute: 'GET /chambers/*' } })
    expect([(await book('b1')).status, (await fetch(`${service.url}/chambers/c1`)).status]).toEqual([201, 500])
    service.setFaults({ badVersion: null })
    expect((await fetch(`${service.url}/chambers/c1`)).status).toBe(200)
  })

  it('breaks all requests above the hard limit and recovers', async () => {
    service = await startPlainService({ delayMs: 100, hardLimit: 2, recoveryMs: 200 })
    const responses = await Promise.allSettled([book('a'), book('b'), book('c')])
    expect(responses.map(({ status }) => status)).toEqual(['rejected', 'rejected', 'rejected'])
    expect(service.crashCount()).toBe(1)
    await expect.poll(async () => (await book('d').catch(() => undefined))?.status, { timeout: 5000 }).toBe(201)
  })
})
