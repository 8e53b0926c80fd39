/** Store wrapper that counts calls by kind of object, operation and outcome, and measures their duration. */
import type { FleetStore, ObjectKind, StoreResult } from '../shared/store.ts'
import type { GatewayMetrics } from './gatewayMetrics.ts'

type Operation = Exclude<keyof FleetStore, 'era' | 'onRestored'>

export interface MeteredStore extends FleetStore {
  /** Time since the last response of the store, or since the start, in ms. */
  responseAgeMs (): number
}

export function meteredStore (store: FleetStore, metrics: GatewayMetrics): MeteredStore {
  let lastResponseMs = performance.now()

  async function measured<Value> (operation: Operation, kind: ObjectKind, call: StoreResult<Value>): StoreResult<Value> {
    const startedMs = performance.now()
    const result = await call
    metrics.storeCalls.inc({ kind, operation, outcome: result.isOk() ? 'ok' : result.error.kind })
    if (result.isOk() || result.error.kind !== 'unavailable') lastResponseMs = performance.now()
    // A watch waits for changes, so its duration says nothing about the latency of the store.
    if (operation !== 'watch') metrics.storeCallMs.observe({ operation }, performance.now() - startedMs)
    return result
  }

  return {
    era: () => store.era(),
    onRestored: listener => store.onRestored(listener),
    responseAgeMs: () => performance.now() - lastResponseMs,
    list: (kind, options) => measured('list', kind, store.list(kind, options)),
    watch: (kind, revision, waitMs) => measured('watch', kind, store.watch(kind, revision, waitMs)),
    read: (kind, name, options) => measured('read', kind, store.read(kind, name, options)),
    create: (kind, name, value) => measured('create', kind, store.create(kind, name, value)),
    replace: (kind, name, value, revision) => measured('replace', kind, store.replace(kind, name, value, revision)),
    replaceStatus: (kind, name, status, revision) => measured('replaceStatus', kind, store.replaceStatus(kind, name, status, revision)),
    remove: (kind, name) => measured('remove', kind, store.remove(kind, name))
  }
}
