import { createHash } from 'node:crypto'
import { describe, expect, it } from 'vitest'
import { ManualTimers, definePlugin, silentLog, silentMetrics, startKernel } from '@buckthorndrift/kernel'
import { documentsKey, type Documents, type StoredObject } from '@buckthorndrift/coordination'
import { configServiceKey, createConfigPlugin, type ConfigService } from '../../../index.ts'

const text = (limit: number): string => `services: { desk: { kind: plain, versions: [{ name: v1 }], endpointLimit: ${limit}, calls: [{ route: GET /, idempotent: true, priceTokens: 1 }] } }`
const hashOf = (key: string): string => createHash('sha256').update(key).digest('hex')
const shardOf = (key: string): number => Number.parseInt(hashOf(key).slice(0, 2), 16) % 64

interface Started {
  readonly config: ConfigService
  push (name: string, version: number, value: unknown): void
}

async function start (initialDocuments: readonly StoredObject[] = []): Promise<Started> {
  const listeners: Array<readonly [string, (document: StoredObject) => void]> = []
  const documents: Documents = {
    get: name => initialDocuments.find(document => document.name === name),
    subscribe (prefix, listener) { listeners.push([prefix, listener]); return () => {} },
    learn () {},
    refresh () { throw new Error('not used') }
  }
  const source = definePlugin({ name: 'documents', setup (context) { context.provide(documentsKey, documents); return {} } })
  const kernel = await startKernel({ timers: new ManualTimers(), log: silentLog, metrics: silentMetrics, plugins: [source, createConfigPlugin()] })
  return {
    config: kernel.use(configServiceKey),
    push (name, version, value) {
      for (const [prefix, listener] of listeners) if (name.startsWith(prefix)) listener({ name, version, value })
    }
  }
}

describe('config plugin', () => {
  describe('fleet text', () => {
    it('applies the document present at start and newer versions, but never older ones', async () => {
      const { config, push } = await start([{ name: 'config/fleet', version: 3, value: { text: text(3) } }])
      expect(config.fleet()?.services['desk']?.endpointLimit).toBe(3)
      push('config/fleet', 5, { text: text(5) })
      push('config/fleet', 4, { text: text(4) })
      expect(config.fleet()?.services['desk']?.endpointLimit).toBe(5)
    })

    it.each([{ text: 'services: [' }, { other: 1 }, null])('keeps the current configuration when the invalid value %j arrives', async value => {
      const { config, push } = await start()
      push('config/fleet', 1, { text: text(1) })
      push('config/fleet', 2, value)
      expect(config.fleet()?.services['desk']?.endpointLimit).toBe(1)
    })
  })

  describe('directory', () => {
    it('finds keys by hash, ignores a malformed shard, and removes keys that a newer shard lacks', async () => {
      const { config, push } = await start()
      const owner = { organisation: 'acme', budget: 'acme/main' }
      push(`directory/${shardOf('bd_1')}`, 1, { keys: { [hashOf('bd_1')]: owner } })
      expect(config.findKey('bd_1')).toEqual(owner)
      expect(config.findKey('bd_2')).toBeUndefined()
      push(`directory/${shardOf('bd_1')}`, 2, { keys: 'damaged' })
      expect(config.findKey('bd_1')).toEqual(owner)
      push(`directory/${shardOf('bd_1')}`, 3, { keys: {} })
      expect(config.findKey('bd_1')).toBeUndefined()
    })
  })
})
