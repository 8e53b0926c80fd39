import { describe, expect, it } from 'vitest'
import { ask, ManualTimers, resolveSettings, defineSettings, definePlugin, serviceKey, silentLog, silentMetrics, startKernel, startTask, type Reply } from '../../index.ts'

const base = { timers: new ManualTimers(), log: silentLog, metrics: silentMetrics }

describe('kernel', () => {
  describe('start', () => {
    it('closes plugins that are already set up when a later one fails to set up, so that no socket stays open', async () => {
      const calls: string[] = []
      const first = definePlugin({ name: 'first', setup: () => ({ close () { calls.push('first closed') } }) })
      const second = definePlugin({ name: 'second', setup () { throw new Error('no port') } })
      await expect(startKernel({ ...base, plugins: [first, second] })).rejects.toThrow('no port')
      expect(calls).toEqual(['first closed'])
    })

    it('rejects a service that two plugins provide, because one would replace the other', async () => {
      const key = serviceKey<number>('count')
      const plugin = definePlugin({ name: 'p', setup (context) { context.provide(key, 1); return {} } })
      await expect(startKernel({ ...base, plugins: [plugin, plugin] })).rejects.toThrow('count is provided twice')
    })
  })

  describe('stop', () => {
    it('drains all plugins before it closes the first one, so that requests in flight keep their sockets, and stops only once', async () => {
      const calls: string[] = []
      const plugin = (name: string) => definePlugin({
        name,
        setup: () => ({ drain () { calls.push(`drain ${name}`) }, close () { calls.push(`close ${name}`) } })
      })
      const kernel = await startKernel({ ...base, plugins: [plugin('a'), plugin('b')] })
      await Promise.all([kernel.stop(), kernel.stop()])
      expect(calls).toEqual(['drain b', 'drain a', 'close b', 'close a'])
    })

    it('drains and closes the other plugins when one throws, so that their requests and sockets are not lost', async () => {
      const calls: string[] = []
      const sound = definePlugin({ name: 'sound', setup: () => ({ drain () { calls.push('drain') }, close () { calls.push('close') } }) })
      const faulty = definePlugin({ name: 'faulty', setup: () => ({ drain () { throw new Error('drain failed') }, close () { throw new Error('close failed') } }) })
      const kernel = await startKernel({ ...base, plugins: [sound, faulty] })
      await expect(kernel.stop()).rejects.toThrow('plugins failed to stop')
      expect(calls).toEqual(['drain', 'close'])
    })
  })
})

describe('task', () => {
  it('handles one message at a time in order and continues after a handler that throws', async () => {
    type Message = { readonly kind: 'add', readonly value: number } | { readonly kind: 'read', readonly reply: Reply<number> }
    let sum = 0
    const errors: unknown[] = []
    const task = startTask<Message>({
      name: 'sum',
      async handle (message) {
        if (message.kind === 'read') return message.reply.resolve(sum)
        if (message.value < 0) throw new Error('negative')
        const before = sum
        await Promise.resolve()
        sum = before + message.value
      },
      onError (error) { errors.push(error) }
    })
    for (const value of [1, -1, 2]) task.post({ kind: 'add', value })
    expect(await ask<Message, number>(task, reply => ({ kind: 'read', reply }))).toBe(3)
    expect(errors).toHaveLength(1)
  })
})

describe('manual timers', () => {
  it('calls listeners in order of due time, repeats intervals and skips cancelled timers', () => {
    const timers = new ManualTimers()
    const calls: string[] = []
    timers.every(10, () => { calls.push(`every ${timers.nowMs()}`) })
    const cancel = timers.after(15, () => { calls.push('cancelled') })
    timers.after(5, () => { calls.push(`after ${timers.nowMs()}`) })
    cancel()
    timers.advance(20)
    expect(calls).toEqual(['after 5', 'every 10', 'every 20'])
  })
})

describe('settings', () => {
  const schema = defineSettings({
    listenPort: { kind: 'number', summary: 'port', unit: 'port', min: 0, max: 65535, default: 8080 },
    fleetSecret: { kind: 'text', summary: 'secret', isSecret: true }
  })

  it('reports all invalid settings together, each with its flag and environment variable', () => {
    const result = resolveSettings(schema, { flags: { listenPort: 'abc' }, environment: {} })
    expect(result.unwrapErr()).toEqual([
      '--listen-port (BUCKTHORNDRIFT_LISTEN_PORT) must be a number from 0 to 65535 port, not "abc"',
      '--fleet-secret (BUCKTHORNDRIFT_FLEET_SECRET) is required: secret'
    ])
  })

  it('prefers a flag to an environment variable', () => {
    const result = resolveSettings(schema, { flags: { listenPort: '1' }, environment: { BUCKTHORNDRIFT_LISTEN_PORT: '2', BUCKTHORNDRIFT_FLEET_SECRET: 's' } })
    expect(result.unwrap()).toEqual({ listenPort: 1, fleetSecret: 's' })
  })
})
