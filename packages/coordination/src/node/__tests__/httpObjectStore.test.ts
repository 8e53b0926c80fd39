import { createServer, type Server } from 'node:http'
import { type AddressInfo } from 'node:net'
import fc from 'fast-check'
import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest'
import { ManualTimers, SystemTimers } from '@buckthorndrift/kernel'
import { startObjectApi, type ObjectApi } from '@buckthorndrift/standins'
import { createHttpObjectStore, MemoryObjectStore, type HttpObjectStore, type ObjectStore } from '../../index.ts'

type Call =
  | { readonly kind: 'write', readonly name: string, readonly version: number, readonly value: number }
  | { readonly kind: 'remove' | 'read', readonly name: string, readonly version: number }
  | { readonly kind: 'list', readonly after: string, readonly limit: number }

describe('HTTP object store', () => {
  let api: ObjectApi
  let store: HttpObjectStore
  beforeAll(async () => {
    api = await startObjectApi({ latencyMs: 0, vmLagMs: 0, readsPerSecond: 100_000, writesPerSecond: 100_000 })
    store = createHttpObjectStore({ url: api.url, timers: new SystemTimers(), timeoutMs: 300, readRetries: 2, random: () => 0 })
  })
  afterAll(async () => {
    await store.close()
    await api.close()
  })
  afterEach(() => { api.setFaults({ outage: false, silent: false, delayMs: 0, loseReplies: 0, readsPerSecond: 100_000, writesPerSecond: 100_000 }) })

  it('returns the same results as the in-memory store, so that tests with that store are valid for the HTTP API', async () => {
    const name = fc.constantFrom('a', 'a/b', 'a%2Fb', 'ä ?&=')
    const version = fc.integer({ min: 0, max: 6 })
    const call: fc.Arbitrary<Call> = fc.oneof(
      fc.record({ kind: fc.constant('write' as const), name, version, value: fc.integer() }),
      fc.record({ kind: fc.constantFrom('remove' as const, 'read' as const), name, version: fc.integer({ min: 1, max: 6 }) }),
      fc.record({ kind: fc.constant('list' as const), after: name, limit: fc.integer({ min: 1, max: 3 }) })
    )
    const start = (target: ObjectStore, given: Call) => {
      switch (given.kind) {
        case 'write': return target.write(given.name, given.value, given.version)
        case 'remove': return target.remove(given.name, given.version)
        case 'read': return target.read(given.name)
        case 'list': return target.list('a', { after: given.after, limit: given.limit })
      }
    }
    // Unwraps results before comparing them, since an `Err` also carries a stack, which differs between the two stores.
    const run = async (target: ObjectStore, given: Call): Promise<unknown> => {
      const result = await start(target, given)
      return result.isOk() ? { value: result.value } : { error: result.error }
    }
    await fc.assert(fc.asyncProperty(fc.array(call, { maxLength: 25 }), async calls => {
      const fresh = await startObjectApi({ latencyMs: 0, readsPerSecond: 100_000, writesPerSecond: 100_000 })
      const http = createHttpObjectStore({ url: fresh.url, timers: new SystemTimers() })
      const memory = new MemoryObjectStore({ timers: new ManualTimers() })
      for (const one of calls) expect(await run(http, one)).toEqual(await run(memory, one))
      expect((await http.watch('a', 0, 0)).unwrap()).toEqual((await memory.watch('a', 0, 0)).unwrap())
      await http.close()
      await fresh.close()
    }), { numRuns: 25 })
  })

  describe('mayHaveApplied', () => {
    const failureOf = async (target: ObjectStore, name: string): Promise<unknown> => {
      const result = await target.write(name, 1, 0)
      return result.isErr() ? result.error : result.value
    }

    it('is true when the reply of a write that took effect is lost', async () => {
      api.setFaults({ loseReplies: 1 })
      expect(await failureOf(store, 'lost')).toMatchObject({ kind: 'unavailable', mayHaveApplied: true })
      expect((await store.read('lost')).unwrap()?.value).toBe(1)
    })

    it('is true when the API accepts the call but never responds, and later calls work once it responds again', async () => {
      api.setFaults({ silent: true })
      expect(await failureOf(store, 'silent')).toMatchObject({ kind: 'unavailable', mayHaveApplied: true })
      api.setFaults({ silent: false })
      expect((await store.read('lost')).isOk()).toBe(true)
    })

    it('is true for a 5xx, which may come from a proxy that timed out while the API was still applying the write', async () => {
      api.setFaults({ outage: true })
      expect(await failureOf(store, 'outage')).toMatchObject({ kind: 'unavailable', mayHaveApplied: true })
    })

    it('is false when the rate limit is exceeded or no connection was established', async () => {
      api.setFaults({ writesPerSecond: 0.001 })
      expect(await failureOf(store, 'limited')).toMatchObject({ kind: 'unavailable', mayHaveApplied: false })
      const closed = await startObjectApi()
      await closed.close()
      const unreachable = createHttpObjectStore({ url: closed.url, timers: new SystemTimers(), readRetries: 0 })
      expect(await failureOf(unreachable, 'x')).toMatchObject({ kind: 'unavailable', mayHaveApplied: false })
      await unreachable.close()
    })

    it('is absent for a value that is too large, which the API rejects', async () => {
      const result = await store.write('large', 'x'.repeat(1_000_001), 0)
      expect(result.isErr() && result.error).toMatchObject({ kind: 'rejected' })
    })
  })

  describe('retries', () => {
    it('retries reads a bounded number of times, and writes and watches never', async () => {
      api.setFaults({ outage: true })
      const before = api.counters()
      await store.read('none')
      await store.write('none', 1, 0)
      await store.watch('none', 0, 0)
      const after = api.counters()
      expect([after.read - before.read, after.write - before.write, after.watch - before.watch]).toEqual([3, 1, 1])
    })
  })

  describe('malformed responses', () => {
    let server: Server
    afterEach(() => { server.close() })

    it('are reported as failures, never as values', async () => {
      server = createServer((_, response) => { response.end('<html>') })
      await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
      const target = createHttpObjectStore({ url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, timers: new SystemTimers(), readRetries: 0 })
      expect((await target.read('a')).isErr()).toBe(true)
      const written = await target.write('a', 1, 0)
      expect(written.isErr() && written.error).toMatchObject({ kind: 'unavailable', mayHaveApplied: true })
      await target.close()
    })
  })

  it('reports a reset when a watch cannot continue from the given revision', async () => {
    expect((await store.watch('', 999_999, 0)).unwrap()).toMatchObject({ isReset: true, revision: api.table.revision })
  })
})
