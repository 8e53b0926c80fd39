/**
 * Tells the operating system how to close a connection when this process ends, also when it is killed: with a reset, or in
 * the usual way. Node.js has no call for the socket option `SO_LINGER`, so the C library is called directly.
 */
import { createRequire } from 'node:module'
import type { Socket } from 'node:net'

type SetSocketOption = (fileDescriptor: number, level: number, option: number, value: Buffer, valueBytes: number) => number

/** Constants of Linux, the same on x86-64 and arm64. */
const socketLevel = 1
const lingerOption = 13

/** A `struct linger`: two 32-bit integers, whether the option is on and the time in seconds. A time of 0 stands for a reset. */
function lingerValue (isOn: boolean): Buffer {
  const value = Buffer.alloc(8)
  value.writeInt32LE(isOn ? 1 : 0, 0)
  return value
}

const resetValue = lingerValue(true)
const closeValue = lingerValue(false)
let loaded: SetSocketOption | null | undefined

/** Loads the library with the first use, because most processes never need it. `null` if this system does not have it. */
function load (): SetSocketOption | null {
  if (process.platform !== 'linux') return null
  try {
    const koffi = createRequire(import.meta.url)('koffi') as typeof import('koffi')
    return koffi.load(null).func('int setsockopt(int, int, int, const void *, uint32_t)') as SetSocketOption
  } catch {
    return null
  }
}

/** Returns whether the option was set. */
export function setResetOnExit (socket: Socket | null, isReset: boolean): boolean {
  const fileDescriptor = (socket as { readonly _handle?: { readonly fd?: number } | null } | null)?._handle?.fd
  if (fileDescriptor === undefined || fileDescriptor < 0) return false
  loaded ??= load()
  const value = isReset ? resetValue : closeValue
  return loaded?.(fileDescriptor, socketLevel, lingerOption, value, value.length) === 0
}
