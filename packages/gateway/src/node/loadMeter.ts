/** Tells the guard how much of the VM's network link and processor share this process uses. */
import type { Socket } from 'node:net'
import type { TimerService, Unsubscribe } from '@buckthorndrift/kernel'
import { RateUse, type OverloadGuard } from '@buckthorndrift/policy'

const sampleMs = 200
const bitsPerByte = 8
const msPerS = 1000

export interface LoadMeterOptions {
  /** Rate of the VM's link; `undefined` when it is not known. */
  readonly linkMbps: number | undefined
  /** Processor time that the process gets, in cores; `undefined` when it is not known. */
  readonly processorCores: number | undefined
  readonly timers: TimerService
  readonly guard: OverloadGuard
}

interface LinkBytes {
  readonly readBytes: number
  readonly writtenBytes: number
}

export class LoadMeter {
  readonly #options: LoadMeterOptions
  readonly #open = new Set<Socket>()
  #stopSampling: Unsubscribe | undefined
  /** Bytes of connections that are closed. */
  #closedRead = 0
  #closedWritten = 0

  constructor (options: LoadMeterOptions) {
    this.#options = options
  }

  /** Begins to measure; what the start of the process took does not count. */
  start (): void {
    if (this.#stopSampling !== undefined) return
    const { linkMbps, processorCores, timers, guard } = this.#options
    const nowMs = timers.monotonicMs()
    const bytesPerMs = (linkMbps ?? Infinity) * 1e6 / bitsPerByte / msPerS
    const { readBytes, writtenBytes } = this.#linkBytes()
    const read = new RateUse(bytesPerMs, readBytes, nowMs)
    const written = new RateUse(bytesPerMs, writtenBytes, nowMs)
    const processor = new RateUse(processorCores ?? Infinity, processorMs(), nowMs)
    this.#stopSampling = timers.every(sampleMs, () => {
      const sampledMs = timers.monotonicMs()
      const bytes = this.#linkBytes()
      read.note(bytes.readBytes, sampledMs)
      written.note(bytes.writtenBytes, sampledMs)
      processor.note(processorMs(), sampledMs)
      guard.update(Math.max(read.share, written.share, processor.share), sampledMs)
    })
  }

  track (socket: Socket): void {
    this.#open.add(socket)
    socket.once('close', () => {
      this.#open.delete(socket)
      this.#closedRead += socket.bytesRead
      this.#closedWritten += socket.bytesWritten
    })
  }

  stop (): void {
    this.#stopSampling?.()
  }

  #linkBytes (): LinkBytes {
    let readBytes = this.#closedRead
    let writtenBytes = this.#closedWritten
    for (const socket of this.#open) {
      readBytes += socket.bytesRead
      writtenBytes += socket.bytesWritten
    }
    return { readBytes, writtenBytes }
  }
}

/** Processor time of this process so far. */
function processorMs (): number {
  const { user, system } = process.cpuUsage()
  return (user + system) / 1000
}
