/** Messages between a bench and the processes that it starts. */
import type { Member } from '@buckthorndrift/protocol'
import type { EngineSettings } from '@buckthorndrift/standins'

/** What a started process does. */
export type Role =
  | { readonly kind: 'engine', readonly settings: Partial<EngineSettings> }
  | { readonly kind: 'plainService', readonly delayMs: number }
  /** Sends endless bodies in chunks of 64 KiB, as fast as they are read. */
  | { readonly kind: 'bulkService' }
  | { readonly kind: 'endpoint', readonly id: string, readonly service: string, readonly backEndUrl: string, readonly backEndKind: 'model' | 'plain' }
  | { readonly kind: 'router', readonly endpoints: readonly Member[] }

/** Sent once by a started process when it is ready; `member` is set for endpoint processes. */
export interface StartedMessage {
  readonly kind: 'started'
  readonly url: string
  readonly member?: Member
}

export interface UsageMessage {
  readonly kind: 'usage'
  /** User and system processor time since the start of the process, in microseconds. */
  readonly cpuUs: number
  /** Heap and external memory in bytes after a garbage collection. */
  readonly memoryBytes: number
}

/** Sent by the bench; `measure` is answered by a `UsageMessage`. */
export type Command = { readonly kind: 'measure' } | { readonly kind: 'stop' }

export const fleetSecret = 'bench-secret'
export const callerKey = 'bench-key'
export const version = 'v1'
