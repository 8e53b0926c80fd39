import { describe, expect, it } from 'vitest'
import { chat } from '../callers.ts'
import { startExampleFleet, waitUntil } from '../setUp.ts'

interface SpanLine {
  readonly traceId: string
  readonly spanId: string
  readonly parentSpanId: string | null
  readonly process: string
  readonly name: string
}

const traceId = '4bf92f3577b34da6a3ce929d0e0e4736'
const callerSpanId = '00f067aa0ba902b7'
const exportTimeoutMs = 15_000

/** Spans of the trace among the lines that a process wrote to standard error. */
function spansIn (lines: readonly string[]): readonly SpanLine[] {
  return lines.filter(line => line.includes(traceId)).map(line => JSON.parse(line) as SpanLine)
}

describe('trace on real processes', () => {
  it('exports a span for each hop below the span of the caller, so that a slow request can be traced through the fleet', async () => {
    const { fleet, key } = await startExampleFleet(100_000, { routers: { spans: 'lines' }, endpoints: { spans: 'lines' } })
    try {
      const response = await chat(fleet.routers[0]!.callerUrl, {
        key, model: 'carebot', prompt: 'traced', maxTokens: 4, headers: { traceparent: `00-${traceId}-${callerSpanId}-01` }
      })
      expect(response.status).toBe(200)
      const processes = [...fleet.routers, ...fleet.endpoints]
      const spans = await waitUntil('all hops are exported', exportTimeoutMs, async () => {
        const found = processes.flatMap(({ child }) => spansIn(child.errorLines()))
        const isComplete = found.some(span => span.process.startsWith('router')) && found.some(span => span.process.startsWith('endpoint'))
        return isComplete ? found : undefined
      })
      const knownSpanIds = new Set([callerSpanId, ...spans.map(span => span.spanId)])
      expect(spans.filter(span => !knownSpanIds.has(span.parentSpanId ?? ''))).toEqual([])
      expect(spans.filter(span => span.parentSpanId === callerSpanId).map(span => span.name)).toEqual(['caller request'])
      expect(spans.map(span => span.name)).toEqual(expect.arrayContaining(['caller request', 'reserve', 'forward']))
      expect(new Set(spans.map(span => span.process)).size).toBe(2)
    } finally {
      await fleet.stop()
    }
  })
})
