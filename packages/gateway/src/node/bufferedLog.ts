/**
 * Log output through a bounded buffer. Writing to a pipe blocks a Node.js process
 * while the reader is slow, so lines are buffered in memory and written
 * asynchronously. Lines that exceed the buffer are dropped and counted.
 */
import { write } from 'node:fs'
import { createRoarrLog, type Log } from '@buckthorndrift/kernel'

const standardOutput = 1
/** Buffer size, in addition to the block that is being written. */
const maxPendingBytes = 256 * 1024
/** Lines are collected for this time, so that many are written with one system call. */
const flushIntervalMs = 50

type Writer = (bytes: Buffer, offset: number, done: (error: Error | null, writtenBytes: number) => void) => void

const writeToStandardOutput: Writer = (bytes, offset, done) => {
  write(standardOutput, bytes, offset, bytes.length - offset, null, done)
}

/** Collects lines and writes them in blocks, one at a time. */
export class LineBuffer {
  readonly #write: Writer
  #pending: string[] = []
  #pendingBytes = 0
  #droppedLines = 0
  #isWriting = false
  #timer: NodeJS.Timeout | undefined

  constructor (writer: Writer = writeToStandardOutput) {
    this.#write = writer
  }

  /** Returns the number of lines dropped since the last call, and resets it. */
  takeDropped (): number {
    const dropped = this.#droppedLines
    this.#droppedLines = 0
    return dropped
  }

  get droppedLines (): number {
    return this.#droppedLines
  }

  add (line: string): void {
    if (this.#pendingBytes + line.length > maxPendingBytes) {
      this.#droppedLines++
      return
    }
    this.#pending.push(line)
    this.#pendingBytes += line.length + 1
    this.#timer ??= setTimeout(() => { this.flush() }, flushIntervalMs)
  }

  /** Writes the pending lines, unless a write is in progress. */
  flush (): void {
    clearTimeout(this.#timer)
    this.#timer = undefined
    if (this.#isWriting || this.#pending.length === 0) return
    this.#isWriting = true
    const bytes = Buffer.from(`${this.#pending.join('\n')}\n`)
    this.#pending = []
    this.#pendingBytes = 0
    this.#writeRest(bytes, 0)
  }

  #writeRest (bytes: Buffer, offset: number): void {
    this.#write(bytes, offset, (error, writtenBytes) => {
      const next = offset + (error === null ? writtenBytes : bytes.length)
      if (next < bytes.length) {
        this.#writeRest(bytes, next)
        return
      }
      this.#isWriting = false
      if (this.#pending.length > 0) this.flush()
    })
  }
}

/** Interval at which dropped lines are reported in the log. */
const dropReportIntervalMs = 1000

/** Creates the log of the process. Writing to it never blocks the process. */
export function createBufferedLog (nodeName: string): { readonly log: Log, readonly lines: LineBuffer } {
  const lines = new LineBuffer()
  const log = createRoarrLog({ scope: 'gateway', level: 'info', base: { node: nodeName } })
  const global = globalThis as unknown as { ROARR: { write: (line: string) => void } }
  global.ROARR.write = line => { lines.add(line) }
  const timer = setInterval(() => {
    if (lines.droppedLines > 0) log.event('logLinesDropped', { lines: lines.takeDropped() })
  }, dropReportIntervalMs)
  timer.unref()
  return { log, lines }
}
