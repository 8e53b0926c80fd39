import { describe, expect, it } from 'vitest'
import { LineBuffer } from '../bufferedLog.ts'

type Done = (error: Error | null, writtenBytes: number) => void

/** A writer whose writes complete only when the test calls the pending callback. */
function stalledWriter (): { readonly blocks: string[], readonly pending: Done[], write (bytes: Buffer, offset: number, done: Done): void } {
  const blocks: string[] = []
  const pending: Done[] = []
  return {
    blocks,
    pending,
    write: (bytes, offset, done) => {
      blocks.push(bytes.toString('utf8', offset))
      pending.push(done)
    }
  }
}

describe('LineBuffer', () => {
  it('limits the buffered bytes while the reader is stalled, and counts the dropped lines', () => {
    const writer = stalledWriter()
    const lines = new LineBuffer(writer.write)
    lines.add('first')
    lines.flush()
    for (let index = 0; index < 10_000; index++) lines.add('x'.repeat(100))
    expect(writer.pending).toHaveLength(1)
    expect(lines.droppedLines).toBeGreaterThan(7000)
    expect(lines.takeDropped()).toBeGreaterThan(7000)
    expect(lines.droppedLines).toBe(0)
  })

  it('writes complete lines in order after the reader resumes', () => {
    const writer = stalledWriter()
    const lines = new LineBuffer(writer.write)
    lines.add('one')
    lines.flush()
    lines.add('two')
    lines.add('three')
    writer.pending[0]!(null, 4)
    expect(writer.blocks).toEqual(['one\n', 'two\nthree\n'])
  })

  it('writes the rest of a block after a partial write', () => {
    const writer = stalledWriter()
    const lines = new LineBuffer(writer.write)
    lines.add('abcdef')
    lines.flush()
    writer.pending[0]!(null, 3)
    expect(writer.blocks).toEqual(['abcdef\n', 'def\n'])
  })

  it('drops a block whose write fails, for example with EPIPE, and writes the next one', () => {
    const writer = stalledWriter()
    const lines = new LineBuffer(writer.write)
    lines.add('lost')
    lines.flush()
    lines.add('next')
    writer.pending[0]!(new Error('EPIPE'), 0)
    expect(writer.blocks).toEqual(['lost\n', 'next\n'])
  })
})
