/** The administration API on a real listener, over an object store in memory with faults. */
import { createHash } from 'node:crypto'
import type { Result } from 'ts-results-es'
import { definePlugin, silentLog, silentMetrics, startKernel, SystemTimers, type Kernel } from '@buckthorndrift/kernel'
import { documentsKey, MemoryObjectStore, membershipKey, objectStoreKey, type Documents, type Membership, type StoredObject } from '@buckthorndrift/coordination'
import type { Member } from '@buckthorndrift/protocol'
import { adminListenerKey, createAdminClient, createAdminPlugin, createStoredBudgetsPlugin, type AdminClient } from '../../index.ts'

export const adminKey = 'operator-key'
export const sha256 = (text: string): string => createHash('sha256').update(text).digest('hex')

export class MemoryStore extends MemoryObjectStore {
  constructor () {
    super({ timers: new SystemTimers() })
  }

  /** Writes without regard to the present version, as another process might have done before. */
  put (name: string, value: unknown): StoredObject {
    const version = this.objects.recordChange(name, false)
    this.objects.entries.set(name, { version, text: JSON.stringify(value) })
    return { name, version, value }
  }

  get (name: string): StoredObject | undefined {
    const entry = this.objects.entries.get(name)
    return entry === undefined ? undefined : { name, version: entry.version, value: JSON.parse(entry.text) }
  }

  /** Removes everything and starts versions anew. */
  clear (): void {
    this.objects.entries.clear()
    this.objects.changes.length = 0
  }
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

interface Page<Item> {
  readonly items: readonly Item[]
  readonly next?: string | undefined
}

/** Items of all pages of a listing. */
export async function allItems<Item> (read: (paging: { readonly after?: string }) => Promise<Result<Page<Item>, unknown>>, paging = {}): Promise<readonly Item[]> {
  const { items, next } = (await read(paging)).unwrap()
  return next === undefined ? items : [...items, ...await allItems(read, { after: next })]
}
