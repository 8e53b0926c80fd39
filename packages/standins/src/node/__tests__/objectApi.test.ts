import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest'
import { startObjectApi, type ObjectApi } from '../../index.ts'

describe('object API stand-in', () => {
  let api: ObjectApi
  beforeAll(async () => { api = await startObjectApi({ latencyMs: 0, vmLagMs: 0, historyLimit: 4, readsPerSecond: 10_000, writesPerSecond: 10_000 }) })
  afterAll(() => api.close())
  afterEach(() => { api.setFaults({ outage: false, silent: false, loseReplies: 0, readsPerSecond: 10_000, writesPerSecond: 10_000 }) })

  const at = (name: string): string => `${api.url}/objects/${encodeURIComponent(name)}`
  const put = (name: string, value: unknown, headers: Record<string, string>) => fetch(at(name), { method: 'PUT', body: JSON.stringify(value), headers })
  const create = async (name: string): Promise<number> => (await (await put(name, 1, { 'if-none-match': '*' })).json() as { version: number }).version

  describe('versions', () => {
    it('distinguishes names with slashes, percent signs and spaces, which decoding twice would merge', async () => {
      const version = await create('a/b c%2F')
      expect(await (await fetch(at('a/b c%2F'))).json()).toEqual({ name: 'a/b c%2F', version, value: 1 })
      expect((await fetch(at('a/b c/'))).status).toBe(404)
    })

    it('returns 412 with the current version, so that a writer cannot overwrite a concurrent write', async () => {
      const version = await create('conflict')
      const stale = await put('conflict', 2, { 'if-match': String(version + 7) })
      expect([stale.status, await stale.json()]).toEqual([412, { version }])
      expect((await put('conflict', 2, {})).status).toBe(428)
      expect((await put('conflict', 'x'.repeat(1_000_001), { 'if-match': String(version) })).status).toBe(413)
    })

    it('gives an object created again after a removal a higher version, so that copies of the old object never look newer', async () => {
      const first = await create('again')
      expect((await fetch(at('again'), { method: 'DELETE', headers: { 'if-match': String(first) } })).status).toBe(200)
      expect(await create('again')).toBeGreaterThan(first)
    })
  })

  describe('watch', () => {
    it('waits for a change below the prefix, and returns 410 with the current revision when the history is too short', async () => {
      const since = api.table.revision
      const waiting = fetch(`${api.url}/watch?prefix=w/&since=${since}&waitMs=20000`)
      await create('other')
      const version = await create('w/1')
      expect(await (await waiting).json()).toEqual({ revision: version, changes: [{ name: 'w/1', version, isRemoved: false }] })
      for (let count = 0; count < 20; count += 1) await create(`filler/${count}`)
      const tooOld = await fetch(`${api.url}/watch?prefix=w/&since=${since}&waitMs=0`)
      expect([tooOld.status, await tooOld.json()]).toEqual([410, { revision: api.table.revision }])
    })
  })

  describe('faults', () => {
    it('breaks the connection only of writes that took effect', async () => {
      api.setFaults({ loseReplies: 1 })
      const version = api.table.revision
      expect((await put('lost', 1, { 'if-match': '99999' })).status).toBe(412)
      await expect(put('lost', 1, { 'if-none-match': '*' })).rejects.toThrow()
      expect(api.table.read('lost')?.version).toBe(version + 1)
      expect((await put('lost', 2, { 'if-match': String(version + 1) })).status).toBe(200)
    })

    it('returns 503 in an outage, also to a waiting watch', async () => {
      const waiting = fetch(`${api.url}/watch?prefix=none/&since=${api.table.revision}&waitMs=20000`)
      await expect.poll(() => api.counters().watch).toBeGreaterThan(0)
      await new Promise(resolve => { setTimeout(resolve, 20) })
      api.setFaults({ outage: true })
      expect((await waiting).status).toBe(503)
      expect((await fetch(at('lost'))).status).toBe(503)
    })

    it('returns 429 with Retry-After above the rate limit and counts such calls as rateLimited', async () => {
      api.setFaults({ readsPerSecond: 2 })
      const responses = await Promise.all(Array.from({ length: 6 }, () => fetch(`${api.url}/vms`)))
      const refused = responses.filter(response => response.status === 429)
      expect(refused.length).toBeGreaterThanOrEqual(3)
      expect(refused[0]?.headers.get('retry-after')).toBe('1')
      expect(api.counters().rateLimited).toBe(refused.length)
    })

    it('rejects unknown faults, as a misspelt one would leave a test without its fault', async () => {
      const response = await fetch(`${api.url}/faults`, { method: 'POST', body: '{"outrage":true}' })
      expect(response.status).toBe(400)
    })
  })

  it('shows a changed VM state only after the lag', async () => {
    const read = async (): Promise<unknown> => (await (await fetch(`${api.url}/vms`)).json() as { vms: unknown }).vms
    api.setVms([{ vm: 'vm1', state: 'live' }])
    expect(await read()).toEqual([{ vm: 'vm1', state: 'live' }])
    api.setVmLag(100_000)
    api.setVm({ vm: 'vm1', state: 'leaving' })
    expect(await read()).toEqual([{ vm: 'vm1', state: 'live' }])
    api.setVmLag(0)
    expect(await read()).toEqual([{ vm: 'vm1', state: 'leaving' }])
  })
})
