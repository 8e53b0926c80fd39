import { readdirSync, readFileSync } from 'node:fs'
import { describe, expect, it } from 'vitest'
import { replayTrace } from '../traceReplay.ts'

const traces = new URL('../../../../traces/', import.meta.url)

describe('recorded traces', () => {
  it.each(readdirSync(traces).filter(name => name.endsWith('.jsonl')))('%s reaches the expected states', name => {
    replayTrace(readFileSync(new URL(name, traces), 'utf8'))
  })

  it('reports the line of a failed expectation or an unknown step instead of ignoring it', () => {
    const world = '{"world":{"routers":["r1"],"endpoints":["e1"],"shards":1,"budgets":{"b1":100}}}'
    expect(() => { replayTrace(`${world}\n{"expect":"b1","freeTokens":99}`) }).toThrow('line 2: freeTokens is 100, expected 99')
    expect(() => { replayTrace(`${world}\n{"do":"unknown"}`) }).toThrow('line 2: unknown step "unknown"')
  })
})
