/** Measures how much this process uses of the network link of the VM and of its own processor share, and reports it to the overload guard. */
import type { Socket } from 'node:net'
import type { TimerService, Unsubscribe } from '@buckthorndrift/kernel'
import { linkAveragingMs, processorAveragingMs, RateUtilization, type OverloadGuard } from '@buckthorndrift/policy'

const sampleIntervalMs = 200
const bitsPerByte = 8
const msPerS = 1000

export interface LoadMeterOptions {
  /** Rate of the network link of the VM; `undefined` when it is not known. */
  readonly linkMbps: number | undefined
  /** Processor share of the process in cores; `undefined` when it is not known. */
  readonly processorCores: number | undefined
  readonly timers: TimerService
  readonly guard: OverloadGuard
  /** Mean time for which work waits for the processor. */
  readonly processorWaitMs: () => number
}

interface LinkBytes {
  readonly readBytes: number
  readonly writtenBytes: number
}

export class LoadMeter {
  readonly #options: LoadMeterOptions
  readonly #openSockets = new Set<Socket>()
  #stopSampling: Unsubscribe | undefined
  /** Bytes read on connections that are closed. */
  #closedReadBytes = 0
  /** Bytes written on connections that are closed. */
  #closedWrittenBytes = 0

  constructor (options: LoadMeterOptions) {
    this.#options = options
  }

  /** Starts measuring. Load before this call, such as that of the process start, is not counted. */
  start (): void {
    if (this.#stopSampling !== undefined) return
    const { linkMbps, processorCores, timers, guard, processorWaitMs } = this.#options
    const nowMs = timers.monotonicMs()
    const bytesPerMs = (linkMbps ?? Infinity) * 1e6 / bitsPerByte / msPerS
    const { readBytes, writtenBytes } = this.#linkBytes()
    const readUse = new RateUtilization(bytesPerMs, linkAveragingMs, readBytes, nowMs)
    const writtenUse = new RateUtilization(bytesPerMs, linkAveragingMs, writtenBytes, nowMs)
    const processorUse = new RateUtilization(processorCores ?? Infinity, processorAveragingMs, processorMs(), nowMs)
    this.#stopSampling = timers.every(sampleIntervalMs, () => {
      const sampledMs = timers.monotonicMs()
      const bytes = this.#linkBytes()
      readUse.addSample(bytes.readBytes, sampledMs)
      writtenUse.addSample(bytes.writtenBytes, sampledMs)
      processorUse.addSample(processorMs(), sampledMs)
      guard.update({ link: Math.max(readUse.share, writtenUse.share), processor: processorUse.share, processorWaitMs: processorWaitMs() }, sampledMs)
    })
  }

  /** Counts the bytes of a connection. */
  track (socket: Socket): void {
    this.#openSockets.add(socket)
    socket.once('close', () => {
      this.#openSockets.delete(socket)
      this.#closedReadBytes += socket.bytesRead
      this.#closedWrittenBytes += socket.bytesWritten
    })
  }

  stop (): void {
    this.#stopSampling?.()
  }

  #linkBytes (): LinkBytes {
    let readBytes = this.#closedReadBytes
    let writtenBytes = this.#closedWrittenBytes
    for (const socket of this.#openSockets) {
      readBytes += socket.bytesRead
      writtenBytes += socket.bytesWritten
    }
    return { readBytes, writtenBytes }
  }
}

/** Processor time that this process has used so far. */
function processorMs (): number {
  const { user, system } = process.cpuUsage()
  return (user + system) / 1000
}
