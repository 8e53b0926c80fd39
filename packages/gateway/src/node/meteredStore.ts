/** Counts the calls to the store by kind of object, operation and outcome, and measures how long they take. */
import type { FleetStore, ObjectKind, StoreResult } from '../shared/store.ts'
import type { GatewayMetrics } from './gatewayMetrics.ts'

type Operation = keyof FleetStore

export interface MeteredStore extends FleetStore {
  /** Time since the store last answered, or since the start. */
  answerAgeMs (): number
}

export function meteredStore (store: FleetStore, metrics: GatewayMetrics): MeteredStore {
  let answeredMs = performance.now()

  async function measured<Value> (operation: Operation, kind: ObjectKind, answer: StoreResult<Value>): StoreResult<Value> {
    const startedMs = performance.now()
    const result = await answer
    metrics.storeCalls.inc({ kind, operation, outcome: result.isOk() ? 'ok' : result.error.kind })
    if (result.isOk() || result.error.kind !== 'unavailable') answeredMs = performance.now()
    // A watch waits for changes, so its duration says nothing about the store.
    if (operation !== 'watch') metrics.storeCallMs.observe({ operation }, performance.now() - startedMs)
    return result
  }

  return {
    answerAgeMs: () => performance.now() - answeredMs,
    list: (kind, options) => measured('list', kind, store.list(kind, options)),
    watch: (kind, revision, waitMs) => measured('watch', kind, store.watch(kind, revision, waitMs)),
    read: (kind, name, options) => measured('read', kind, store.read(kind, name, options)),
    create: (kind, name, value) => measured('create', kind, store.create(kind, name, value)),
    replace: (kind, name, value, revision) => measured('replace', kind, store.replace(kind, name, value, revision)),
    replaceStatus: (kind, name, status, revision) => measured('replaceStatus', kind, store.replaceStatus(kind, name, status, revision))
  }
}
