import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { BufferedResponse } from '../bufferedResponse.ts'
import { RequestTable } from '../requestTable.ts'
import { TokenMeter, parseUsageFromEvents } from '../tokenMeter.ts'
import { UnreadBytesLimiter } from '../unreadBytesLimiter.ts'

function readAll (response: BufferedResponse, from: number): Buffer {
  const parts: Buffer[] = []
  for (let offset = from; offset < response.length;) {
    const part = response.read(offset)
    parts.push(part)
    offset += part.length
  }
  return Buffer.concat(parts)
}

describe('BufferedResponse', () => {
  it('returns the same bytes from any offset, before and after trimming', () => {
    const chunks = fc.array(fc.uint8Array({ maxLength: 3000 }), { maxLength: 30 })
    fc.assert(fc.property(chunks, fc.nat(), fc.nat(), (parts, offset, trimAt) => {
      const response = new BufferedResponse()
      for (const part of parts) response.append(part)
      const whole = Buffer.concat(parts)
      response.trim(trimAt % (whole.length + 1))
      expect(response.startOffset).toBeLessThanOrEqual(trimAt % (whole.length + 1))
      const from = response.startOffset + offset % (whole.length - response.startOffset + 1)
      expect(readAll(response, from).equals(whole.subarray(from))).toBe(true)
    }))
  })
})

describe('TokenMeter', () => {
  it('counts events with data, regardless of how the stream is split into chunks', () => {
    const event = fc.constantFrom('data: {"a":"b"}\n\n', ': comment\n\n', 'event: x\ndata: 1\ndata: 2\n\n', 'data:\r\n\r\n', ':\n', '\n')
    fc.assert(fc.property(fc.array(event), fc.array(fc.integer({ min: 1, max: 20 })), (events, cuts) => {
      const text = Buffer.from(events.join(''))
      const meter = new TokenMeter()
      let position = 0
      for (const cut of [...cuts, text.length]) meter.scan(text.subarray(position, position += cut))
      expect(meter.dataEventCount).toBe(events.filter(text => text.includes('data:')).length)
    }))
  })

  it('finds usage before [DONE] and ignores invalid usage', () => {
    const usage = 'data: {"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":4}}\n\ndata: [DONE]\n\n'
    expect(parseUsageFromEvents(Buffer.from(usage))).toEqual({ promptTokens: 3, completionTokens: 4 })
    expect(parseUsageFromEvents(Buffer.from('data: {"usage":null}\n\n'))).toBeUndefined()
    expect(parseUsageFromEvents(Buffer.from('data: {"usage":{"prompt_tokens":"x"}}\n\n'))).toBeUndefined()
  })
})

describe('RequestTable', () => {
  function createTable (clock: { nowMs: number }, answersLimitBytes = 100_000, answerRetentionMs = 1000): RequestTable {
    return new RequestTable({ monotonicMs: () => clock.nowMs, answerRetentionMs, answersLimitBytes, idRetentionMs: 5000, maxIds: 10 })
  }

  function finish (table: RequestTable, id: string, bytes: number, hasKey = true): BufferedResponse {
    const response = table.register(id)
    table.append(response, Buffer.alloc(bytes), 0)
    response.end({ requestId: id, tokens: 0, outcome: 'completed' })
    table.retain(id, response, hasKey)
    return response
  }

  it('never treats a known request id as new, neither after the retention time nor after a flood of ids', () => {
    const clock = { nowMs: 1 }
    const table = createTable(clock)
    for (let sequence = 1; sequence <= 30; sequence += 1) finish(table, `r.1.${sequence}`, 1)
    table.sweep()
    expect(table.size).toBe(10)
    clock.nowMs = 10_000
    table.sweep()
    expect(table.size).toBe(0)
    for (let sequence = 1; sequence <= 30; sequence += 1) expect(table.lookUp(`r.1.${sequence}`).kind).toBe('stale')
    expect(table.lookUp('r.1.31').kind).toBe('new')
    expect(table.lookUp('r.2.1').kind).toBe('new')
  })

  it('drops a response after the retention time but still knows that the request ran', () => {
    const clock = { nowMs: 1 }
    const table = createTable(clock)
    const response = finish(table, 'r.1.1', 1000)
    clock.nowMs = 1002
    table.sweep()
    expect([response.isDropped, table.allocatedBytes, table.lookUp('r.1.1').kind]).toEqual([true, 0, 'known'])
  })

  it('keeps a response without an idempotency key only as long as a router may reattach', () => {
    const clock = { nowMs: 1 }
    const table = createTable(clock, 100_000, 600_000)
    const [keyed, unkeyed] = [finish(table, 'r.1.1', 1000, true), finish(table, 'r.1.2', 1000, false)]
    clock.nowMs = 30_002
    table.sweep()
    expect([keyed.isDropped, unkeyed.isDropped]).toEqual([false, true])
  })

  it('keeps to the byte limit: evicts the oldest finished responses first, then trims the received part of a running one', () => {
    const table = createTable({ nowMs: 1 }, 80_000)
    const first = finish(table, 'r.1.1', 20_000)
    const second = finish(table, 'r.1.2', 20_000)
    const running = table.register('r.1.3')
    table.append(running, Buffer.alloc(25_000), 0)
    expect([first.isDropped, second.isDropped]).toEqual([true, false])
    for (let at = 25_000; at < 200_000; at += 1000) table.append(running, Buffer.alloc(1000), at)
    expect(second.isDropped).toBe(true)
    expect(table.allocatedBytes).toBeLessThanOrEqual(80_000 + 16_384)
  })
})

describe('UnreadBytesLimiter', () => {
  it('guarantees each stream its share of the process limit while slow readers use it up', () => {
    const limiter = new UnreadBytesLimiter({ perStreamBytes: 1000, perProcessBytes: 1600 })
    limiter.update('slow', 1000)
    limiter.update('slower', 600)
    limiter.update('fast', 0)
    expect(limiter.limitBytesFor('slow')).toBe(1000)
    expect(limiter.limitBytesFor('fast')).toBeCloseTo(1600 / 3)
    limiter.close('slow')
    expect(limiter.limitBytesFor('fast')).toBe(1000)
  })
})
