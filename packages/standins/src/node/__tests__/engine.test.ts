import { afterEach, describe, expect, it } from 'vitest'
import { blocksOf, expectedContent, startEngine, type Engine, type EngineOptions } from '../../index.ts'

interface CompletionResponse {
  readonly choices: ReadonlyArray<{ readonly message: { readonly content: string } }>
  readonly usage: { readonly completion_tokens: number, readonly prompt_tokens_details: { readonly cached_tokens: number } }
}

interface Chunk {
  readonly choices: ReadonlyArray<{ readonly delta: { readonly content?: string }, readonly finish_reason: string | null }>
  readonly usage?: { readonly completion_tokens: number }
}

describe('model engine stand-in', () => {
  let engine: Engine
  const start = async (options: EngineOptions): Promise<void> => { engine = await startEngine({ stepMs: 2, stepMsPerRequest: 0, ...options }) }
  afterEach(() => engine.close())

  const post = (path: string, body: unknown, headers: Record<string, string> = {}): Promise<Response> =>
    fetch(`${engine.url}${path}`, { method: 'POST', body: JSON.stringify(body), headers })
  const ask = (content: string, id: string, more: object = {}): Promise<Response> =>
    post('/v1/chat/completions', { messages: [{ role: 'user', content }], max_tokens: 8, ...more }, { 'x-request-id': id })
  const chunksOf = (text: string): readonly Chunk[] => text.split('\n').filter(line => line.startsWith('data: {'))
    .map(line => JSON.parse(line.slice(6)) as Chunk)
  const contentOf = (text: string): string => chunksOf(text).map(chunk => chunk.choices[0]?.delta.content ?? '').join('')

  describe('completions', () => {
    it('returns the same content complete, streamed and resumed, with usage in the last chunk', async () => {
      await start({})
      const expected = expectedContent('user: hello', 8)
      const whole = await (await ask('hello', 'r1')).json() as CompletionResponse
      expect([whole.choices[0]?.message.content, whole.usage.completion_tokens]).toEqual([expected, 8])
      const streamed = await (await ask('hello', 'r2', { stream: true })).text()
      expect([contentOf(streamed), chunksOf(streamed).at(-1)?.usage?.completion_tokens]).toEqual([expected, 8])
      const resumed = await (await fetch(`${engine.url}/requests/r2/stream?from=5`)).text()
      expect(expected.endsWith(contentOf(resumed))).toBe(true)
      expect(contentOf(resumed).trim().split(' ')).toHaveLength(3)
      expect(engine.model.executions()).toEqual({ r1: 1, r2: 1 })
    })

    it('stops generating when a request is cancelled, and reports its usage', async () => {
      await start({ stepMs: 20 })
      const streaming = ask('long', 'r1', { stream: true, max_tokens: 5000 })
      const response = await streaming
      const cancelled = await (await post('/requests/r1/cancel', {})).json() as { state: string }
      expect(cancelled.state).toBe('cancelled')
      const chunks = chunksOf(await response.text())
      expect(chunks.at(-2)?.choices[0]?.finish_reason).toBe('cancelled')
      expect(chunks.at(-1)?.usage?.completion_tokens).toBeLessThan(100)
    })

    it('generates no tokens while a request is paused, and continues when it is resumed', async () => {
      await start({ stepMs: 10 })
      const response = await ask('paused', 'r1', { stream: true, max_tokens: 50 })
      await post('/requests/r1/pause', {})
      await new Promise(resolve => { setTimeout(resolve, 40) })
      const before = engine.model.find('r1')?.generatedTokens
      await new Promise(resolve => { setTimeout(resolve, 60) })
      expect(engine.model.find('r1')?.generatedTokens).toBe(before)
      await post('/requests/r1/resume', {})
      expect(contentOf(await response.text())).toBe(expectedContent('user: paused', 50))
    })
  })

  describe('crashes', () => {
    it('breaks all requests above the hard limit, sends no responses while down, and recovers', async () => {
      await start({ hardLimit: 2, recoveryMs: 300, stepMs: 50 })
      const running = [ask('a', 'a'), ask('b', 'b')].map(response => response.then(() => 'answered', () => 'broken'))
      await expect.poll(() => Object.keys(engine.model.executions())).toHaveLength(2)
      await expect(ask('c', 'c')).rejects.toThrow()
      expect(await Promise.all(running)).toEqual(['broken', 'broken'])
      await expect(fetch(`${engine.url}/load`)).rejects.toThrow()
      await expect.poll(async () => (await ask('d', 'd').catch(() => undefined))?.status, { timeout: 5000 }).toBe(200)
    })

    it('crashes on a prompt with the crash marker', async () => {
      await start({})
      await expect(ask('please [[crash]] now', 'a')).rejects.toThrow()
      expect(engine.model.crashCount).toBe(1)
    })
  })

  describe('prefix cache', () => {
    it('reports cached tokens for a repeated prefix and evicts blocks above its capacity', async () => {
      await start({ cacheBlocks: 4, cacheEventLagMs: 0, cacheEventGapShare: 0 })
      const prompt = 'p'.repeat(200)
      await ask(prompt, 'a')
      const again = await (await ask(prompt, 'b')).json() as CompletionResponse
      expect(again.usage.prompt_tokens_details.cached_tokens).toBe(48)
      await ask('q'.repeat(300), 'c')
      const { events } = await (await fetch(`${engine.url}/cache-events?since=0`)).json() as { events: ReadonlyArray<{ kind: string }> }
      expect(events.filter(event => event.kind === 'evicted')).toHaveLength(3)
      const block = blocksOf(`user: ${'q'.repeat(300)}`).at(-1) ?? ''
      expect((await fetch(`${engine.url}/kv/${block}`)).status).toBe(200)
      expect((await fetch(`${engine.url}/kv/none`)).status).toBe(404)
    })
  })

  it('rejects an order with a stale fencing token only while checksFencingToken is set', async () => {
    await start({})
    const order = (fencingToken: number): Promise<Response> => post('/orders', { fencingToken, order: { kind: 'loadModel', model: 'm' } })
    expect([(await order(5)).status, (await order(4)).status]).toEqual([200, 409])
    engine.setFaults({ checksFencingToken: false })
    expect((await order(4)).status).toBe(200)
    expect(engine.orders().map(({ fencingToken }) => fencingToken)).toEqual([5, 4])
  })

  it('fails requests of a bad version only above the given load', async () => {
    await start({})
    engine.setFaults({ badVersion: { failureShare: 1, aboveLoad: 1 } })
    expect((await ask('a', 'a')).status).toBe(200)
    const both = await Promise.all([ask('b', 'b', { max_tokens: 40 }), ask('c', 'c', { max_tokens: 40 })])
    expect(both.map(response => response.status).sort()).toEqual([200, 500])
  })
})
