/** Messages between a bench and the processes it starts. */
import type { Member } from '@buckthorndrift/protocol'
import type { EngineSettings } from '@buckthorndrift/standins'

/** What a started process does. */
export type Role =
  | { readonly kind: 'engine', readonly settings: Partial<EngineSettings> }
  | { readonly kind: 'plainService', readonly delayMs: number }
  /** Sends bodies of 64 KiB chunks without an end, as fast as they are read. */
  | { readonly kind: 'bulkService' }
  | { readonly kind: 'endpoint', readonly id: string, readonly service: string, readonly backEndUrl: string, readonly backEndKind: 'model' | 'plain' }
  | { readonly kind: 'router', readonly endpoints: readonly Member[] }

/** `member` is set for endpoint processes. */
export interface Started {
  readonly kind: 'started'
  readonly url: string
  readonly member?: Member
}

export interface Usage {
  readonly kind: 'usage'
  /** Processor time so far in microseconds, system time included. */
  readonly cpuUs: number
  /** Heap and buffers in bytes after a garbage collection. */
  readonly memoryBytes: number
}

export type Order = { readonly kind: 'measure' } | { readonly kind: 'stop' }

export const fleetSecret = 'bench-secret'
export const callerKey = 'bench-key'
export const version = 'v1'
