/** The administration API on a real listener, over an object store in memory with faults. */
import { createHash } from 'node:crypto'
import { Err, Ok } from 'ts-results-es'
import { definePlugin, silentLog, silentMetrics, startKernel, SystemTimers, type Kernel } from '@buckthorndrift/kernel'
import { documentsKey, membershipKey, objectStoreKey, type Documents, type Membership, type ObjectStore, type StoredObject } from '@buckthorndrift/platform'
import type { Member } from '@buckthorndrift/protocol'
import { adminListenerKey, createAdminClient, createAdminPlugin, createStoredBudgetsPlugin, type AdminClient } from '../../index.ts'

export const adminKey = 'operator-key'
export const sha256 = (text: string): string => createHash('sha256').update(text).digest('hex')

export class MemoryStore implements ObjectStore {
  readonly objects = new Map<string, StoredObject>()
  /** Number of the next writes that take effect without a reply. */
  lostReplies = 0
  isDown = false

  put (name: string, value: unknown): StoredObject {
    const object = { name, version: (this.objects.get(name)?.version ?? 0) + 1, value: structuredClone(value) }
    this.objects.set(name, object)
    return object
  }

  async read (name: string) {
    if (this.isDown) return Err({ kind: 'unavailable' as const, mayHaveApplied: false, detail: 'outage' })
    return Ok(structuredClone(this.objects.get(name)))
  }

  async write (name: string, value: unknown, expectedVersion: number) {
    if (this.isDown) return Err({ kind: 'unavailable' as const, mayHaveApplied: false, detail: 'outage' })
    const version = this.objects.get(name)?.version ?? 0
    if (version !== expectedVersion) return Err({ kind: 'conflict' as const, version })
    const written = this.put(name, value)
    if (this.lostReplies === 0) return Ok(written.version)
    this.lostReplies--
    return Err({ kind: 'unavailable' as const, mayHaveApplied: true, detail: 'reply lost' })
  }

  async list (prefix: string, options: { readonly after?: string, readonly limit?: number } = {}) {
    const names = [...this.objects.keys()].filter(name => name.startsWith(prefix) && name > (options.after ?? '')).toSorted()
    return Ok(names.slice(0, options.limit ?? 1000).map(name => ({ name, version: this.objects.get(name)!.version, isRemoved: false })))
  }

  remove (): never { throw new Error('not used') }
  watch (): never { throw new Error('not used') }
  vms (): never { throw new Error('not used') }
}

function documentsOver (store: MemoryStore): Documents {
  const held = new Map<string, StoredObject>()
  const learn = (document: StoredObject): void => { if (document.version > (held.get(document.name)?.version ?? 0)) held.set(document.name, document) }
  return {
    get: name => held.get(name),
    subscribe: () => () => {},
    learn,
    async refresh (name) {
      const read = await store.read(name)
      if (read.isOk() && read.value !== undefined) learn(read.value)
      return read
    }
  }
}

export const router: Member = { id: 'r1', incarnation: '1', role: 'router', vm: 'vm1', failureDomain: 'north', controlUrl: 'http://127.0.0.1:9', leaving: false }
export const lostRouter: Member = { ...router, id: 'r2' }
export const endpoint: Member = { ...router, id: 'e1', role: 'endpoint', service: 'desk', version: 'v1' }

export interface AdminFixture {
  readonly store: MemoryStore
  readonly url: string
  readonly client: AdminClient
  readonly kernel: Kernel
  drains: number
  /** Makes a document known to the router without a read. */
  learn (document: StoredObject): void
}

export async function startAdmin (): Promise<AdminFixture> {
  const store = new MemoryStore()
  const membership = {
    self: router, routers: () => [router, lostRouter], endpoints: () => [endpoint], isSuspected: (id: string) => id === 'r2'
  } as unknown as Membership
  const fixture = { store, url: '', drains: 0 }
  const platform = definePlugin({
    name: 'platform',
    setup (context) {
      context.provide(objectStoreKey, store)
      context.provide(documentsKey, documentsOver(store))
      context.provide(membershipKey, membership)
      return {}
    }
  })
  const admin = createAdminPlugin({
    host: '127.0.0.1', port: 0, keys: [{ name: 'other', hash: sha256('other') }, { name: 'anna', hash: sha256(adminKey) }], fleetSecret: 's', drainSelf () { fixture.drains++ }
  })
  const kernel = await startKernel({ timers: new SystemTimers(), log: silentLog, metrics: silentMetrics, plugins: [platform, createStoredBudgetsPlugin({ shards: 4 }), admin] })
  const url = `http://127.0.0.1:${kernel.use(adminListenerKey).port}`
  return Object.assign(fixture, { url, kernel, learn: kernel.use(documentsKey).learn, client: createAdminClient({ url, key: adminKey, timeoutMs: 10_000 }) })
}
