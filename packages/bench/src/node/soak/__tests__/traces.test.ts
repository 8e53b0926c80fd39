import { readdirSync, readFileSync } from 'node:fs'
import { describe, expect, it } from 'vitest'
import { replayTrace } from '../traceReplay.ts'

const traces = new URL('../../../../traces/', import.meta.url)

describe('recorded traces', () => {
  it.each(readdirSync(traces).filter(name => name.endsWith('.jsonl')))('%s ends as stated', name => {
    replayTrace(readFileSync(new URL(name, traces), 'utf8'))
  })

  it('names the line that goes another way than stated, so that a trace cannot pass unread', () => {
    const world = '{"world":{"routers":["r1"],"endpoints":["e1"],"shards":1,"budgets":{"b1":100}}}'
    expect(() => { replayTrace(`${world}\n{"expect":"b1","freeTokens":99}`) }).toThrow('line 2: freeTokens is 100, stated is 99')
    expect(() => { replayTrace(`${world}\n{"do":"unknown"}`) }).toThrow('line 2: there is no step "unknown"')
  })
})
