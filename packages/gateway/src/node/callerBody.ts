/** Reads the body of a caller's request within the memory budget, and until the deadline of the request. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { HeldMemory, MemoryHolder } from '@buckthorndrift/policy'
import { hasBody, readBody, type BodyResult } from './readBody.ts'

export interface CallerBodyOptions {
  readonly memory: HeldMemory
  /** Memory that the request holds without its body. */
  readonly headBytes: number
  readonly maxBodyBytes: number
  readonly timeoutMs: number
  readonly nowMs: () => number
}

export interface CallerBody {
  /** Holds the memory of the request until its answer is sent. */
  readonly holder: MemoryHolder
  readonly read: Promise<BodyResult | { readonly kind: 'late' }>
}

export function readCallerBody (request: IncomingMessage, response: ServerResponse, { memory, headBytes, maxBodyBytes, timeoutMs, nowMs }: CallerBodyOptions): CallerBody {
  const holder = memory.open(nowMs())
  response.on('close', () => { holder.release() })
  if (!holder.tryHold(headBytes, nowMs())) return { holder, read: Promise.resolve({ kind: 'noMemory' }) }
  if (!hasBody(request)) {
    holder.protect()
    return { holder, read: Promise.resolve({ kind: 'read', body: undefined }) }
  }
  const read = readBody(request, { maxBytes: maxBodyBytes, holder, nowMs })
  const ended = new Promise<BodyResult | { readonly kind: 'late' }>(resolve => {
    const timer = setTimeout(() => { resolve({ kind: 'late' }) }, timeoutMs)
    void read.then(result => {
      clearTimeout(timer)
      resolve(result)
    })
  })
  return { holder, read: ended }
}
