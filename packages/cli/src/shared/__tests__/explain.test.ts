import { describe, expect, it } from 'vitest'
import { explain } from '../explain.ts'

function line (time: number, event: number, message: string, context: Readonly<Record<string, unknown>>): string {
  return JSON.stringify({ context: { node: 'router-1', attemptId: 'a1', ...context, event }, message, time })
}

describe('explain', () => {
  it('sorts the lines of one request by time across processes and gives the cause of its failure', () => {
    const found = explain('a1', [
      line(20, 1834, 'request failed', { status: 502, detail: 'read ECONNRESET', endpoints: 'e1', events: 3 }),
      line(10, 1831, 'attempt failed', { detail: 'read ECONNRESET' }),
      line(15, 1833, 'request was answered', { attemptId: 'a2', status: 200 })
    ])
    expect(found?.lines.map(each => each.atMs)).toEqual([10, 20])
    expect(found?.cause).toContain('failed at endpoint e1')
    expect(found?.cause).toContain('read ECONNRESET')
  })

  it('ignores truncated lines and lines of other formats, and accepts lines with a prefix', () => {
    const refused = line(10, 1832, 'request was refused', { status: 402, reason: 'budgetExhausted', detail: '' })
    const found = explain('a1', ['no json', refused.slice(0, 40), `12.5 router-1 ${refused}`, '{"context":1}'])
    expect(found?.lines).toHaveLength(1)
    expect(found?.cause).toContain('has not run: budgetExhausted')
  })

  it('reports that the last line of a request is missing, for example after a killed process', () => {
    expect(explain('a1', [line(10, 1831, 'attempt failed', {})])?.cause).toContain('no last line')
  })

  it('returns undefined for an unknown id', () => {
    expect(explain('other', [line(10, 1833, 'request was answered', {})])).toBeUndefined()
  })
})
