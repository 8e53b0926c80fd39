/**
 * Bounded output of log lines. Writing to a pipe blocks a Node.js process while
 * the reader is slow, so lines are kept in memory and written in the background;
 * what does not fit is dropped and counted.
 */
import { write } from 'node:fs'
import { createRoarrLog, type Log } from '@buckthorndrift/kernel'

const standardOutput = 1
/** Lines kept in memory beyond the one that is being written. */
const maxPendingBytes = 256 * 1024
/** Lines are gathered for this long, so that many cost one system call. */
const gatherMs = 50

type Writer = (bytes: Buffer, offset: number, done: (error: Error | null, writtenBytes: number) => void) => void

const writeToStandardOutput: Writer = (bytes, offset, done) => {
  write(standardOutput, bytes, offset, bytes.length - offset, null, done)
}

/** Collects lines and writes them one block at a time. */
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

  /** Lines dropped since the last call. */
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
    this.#timer ??= setTimeout(() => { this.flush() }, gatherMs)
  }

  /** Writes what is pending, unless a write is in progress. */
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

const reportDroppedMs = 1000

/** Creates the log of the process, which never blocks it. */
export function createDecisionLog (nodeName: string): { readonly log: Log, readonly lines: LineBuffer } {
  const lines = new LineBuffer()
  const log = createRoarrLog({ scope: 'gateway', level: 'info', base: { node: nodeName } })
  const global = globalThis as unknown as { ROARR: { write: (line: string) => void } }
  global.ROARR.write = line => { lines.add(line) }
  const timer = setInterval(() => {
    if (lines.droppedLines > 0) log.event('logLinesDropped', { lines: lines.takeDropped() })
  }, reportDroppedMs)
  timer.unref()
  return { log, lines }
}
