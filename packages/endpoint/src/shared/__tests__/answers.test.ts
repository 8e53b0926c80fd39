import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { Answer } from '../answer.ts'
import { RequestTable } from '../requestTable.ts'
import { TokenMeter, usageOfEvents } from '../tokenMeter.ts'
import { UnreadBudget } from '../unreadBytesLimiter.ts'

function readAll (answer: Answer, from: number): Buffer {
  const parts: Buffer[] = []
  for (let offset = from; offset < answer.length;) {
    const part = answer.read(offset)
    parts.push(part)
    offset += part.length
  }
  return Buffer.concat(parts)
}

describe('Answer', () => {
  it('returns the same bytes from any offset, also after a trim', () => {
    const chunks = fc.array(fc.uint8Array({ maxLength: 3000 }), { maxLength: 30 })
    fc.assert(fc.property(chunks, fc.nat(), fc.nat(), (parts, offset, trimAt) => {
      const answer = new Answer()
      for (const part of parts) answer.append(part)
      const whole = Buffer.concat(parts)
      answer.trim(trimAt % (whole.length + 1))
      expect(answer.base).toBeLessThanOrEqual(trimAt % (whole.length + 1))
      const from = answer.base + offset % (whole.length - answer.base + 1)
      expect(readAll(answer, from).equals(whole.subarray(from))).toBe(true)
    }))
  })
})

describe('TokenMeter', () => {
  it('counts events with data however the stream is cut into chunks', () => {
    const event = fc.constantFrom('data: {"a":"b"}\n\n', ': comment\n\n', 'event: x\ndata: 1\ndata: 2\n\n', 'data:\r\n\r\n', ':\n', '\n')
    fc.assert(fc.property(fc.array(event), fc.array(fc.integer({ min: 1, max: 20 })), (events, cuts) => {
      const text = Buffer.from(events.join(''))
      const meter = new TokenMeter()
      let position = 0
      for (const cut of [...cuts, text.length]) meter.scan(text.subarray(position, position += cut))
      expect(meter.events).toBe(events.filter(one => one.includes('data:')).length)
    }))
  })

  it('finds usage before the end marker and ignores what is no usage', () => {
    const usage = 'data: {"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":4}}\n\ndata: [DONE]\n\n'
    expect(usageOfEvents(Buffer.from(usage))).toEqual({ promptTokens: 3, completionTokens: 4 })
    expect(usageOfEvents(Buffer.from('data: {"usage":null}\n\n'))).toBeUndefined()
    expect(usageOfEvents(Buffer.from('data: {"usage":{"prompt_tokens":"x"}}\n\n'))).toBeUndefined()
  })
})

describe('RequestTable', () => {
  function tableAt (clock: { nowMs: number }, answersLimitBytes = 100_000, answerRetentionMs = 1000): RequestTable {
    return new RequestTable({ monotonicMs: () => clock.nowMs, answerRetentionMs, answersLimitBytes, idRetentionMs: 5000, idsLimit: 10 })
  }

  function finish (table: RequestTable, id: string, bytes: number, hasKey = true): Answer {
    const answer = table.open(id)
    table.append(answer, Buffer.alloc(bytes), 0)
    answer.end({ requestId: id, tokens: 0, outcome: 'completed' })
    table.keep(id, answer, hasKey)
    return answer
  }

  it('never takes an id as new again, neither after the retention time nor after a flood of ids', () => {
    const clock = { nowMs: 1 }
    const table = tableAt(clock)
    for (let sequence = 1; sequence <= 30; sequence += 1) finish(table, `r.1.${sequence}`, 1)
    table.sweep()
    expect(table.size).toBe(10)
    clock.nowMs = 10_000
    table.sweep()
    expect(table.size).toBe(0)
    for (let sequence = 1; sequence <= 30; sequence += 1) expect(table.look(`r.1.${sequence}`).kind).toBe('stale')
    expect(table.look('r.1.31').kind).toBe('new')
    expect(table.look('r.2.1').kind).toBe('new')
  })

  it('drops answers after the retention time but remembers that they ran', () => {
    const clock = { nowMs: 1 }
    const table = tableAt(clock)
    const answer = finish(table, 'r.1.1', 1000)
    clock.nowMs = 1002
    table.sweep()
    expect([answer.isDropped, table.heldBytes, table.look('r.1.1').kind]).toEqual([true, 0, 'known'])
  })

  it('keeps answers without a key only as long as a router may re-attach', () => {
    const clock = { nowMs: 1 }
    const table = tableAt(clock, 100_000, 600_000)
    const [keyed, unkeyed] = [finish(table, 'r.1.1', 1000, true), finish(table, 'r.1.2', 1000, false)]
    clock.nowMs = 30_002
    table.sweep()
    expect([keyed.isDropped, unkeyed.isDropped]).toEqual([false, true])
  })

  it('holds the byte limit: old finished answers go first, then what readers of a running one have', () => {
    const table = tableAt({ nowMs: 1 }, 80_000)
    const first = finish(table, 'r.1.1', 20_000)
    const second = finish(table, 'r.1.2', 20_000)
    const running = table.open('r.1.3')
    table.append(running, Buffer.alloc(25_000), 0)
    expect([first.isDropped, second.isDropped]).toEqual([true, false])
    for (let at = 25_000; at < 200_000; at += 1000) table.append(running, Buffer.alloc(1000), at)
    expect(second.isDropped).toBe(true)
    expect(table.heldBytes).toBeLessThanOrEqual(80_000 + 16_384)
  })
})

describe('UnreadBudget', () => {
  it('lowers the limit of greedy streams before it touches the share of the others', () => {
    const budget = new UnreadBudget({ streamBytes: 1000, processBytes: 1600 })
    budget.update('slow', 1000)
    budget.update('slower', 600)
    budget.update('fast', 0)
    expect(budget.limitOf('slow')).toBe(1000)
    expect(budget.limitOf('fast')).toBeCloseTo(1600 / 3)
    budget.close('slow')
    expect(budget.limitOf('fast')).toBe(1000)
  })
})
