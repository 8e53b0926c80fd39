import { afterEach, describe, expect, it } from 'vitest'
import type { ReadableSpan, SpanExporter } from '@opentelemetry/sdk-trace-base'
import { createTracing } from '@buckthorndrift/kernel'
import { FakeEndpoint } from '../../__tests__/fakeEndpoint.ts'
import { callerHeaders, startTestRouter, type TestRouter } from '../../__tests__/testRouter.ts'

const traceId = '0af7651916cd43dd8448eb211c80319c'
const parentId = 'b7ad6b7169203331'

describe('tracing of the caller path', () => {
  let router: TestRouter
  const endpoint = new FakeEndpoint('e1')

  afterEach(async () => {
    await router.stop()
    await endpoint.kill()
  })

  it('has one span per hop in the trace of the caller, and passes the trace on', async () => {
    const spans: ReadableSpan[] = []
    const exporter: SpanExporter = { export (batch, done) { spans.push(...batch); done({ code: 0 }) }, shutdown: async () => {} }
    const tracing = createTracing({ serviceName: 'router', exporter })
    await endpoint.open()
    router = await startTestRouter({ endpoints: [endpoint], tracing })
    await (await fetch(`${router.url}/services/desk/chambers/1`, { headers: callerHeaders({ traceparent: `00-${traceId}-${parentId}-01` }) })).text()
    await expect.poll(() => router.bills.length).toBe(1)
    await tracing.close()
    const byName = new Map(spans.map(span => [span.name, span]))
    const [request, reserve, forward] = ['caller request', 'reserve', 'forward'].map(name => byName.get(name))
    expect(request?.parentSpanContext?.spanId).toBe(parentId)
    for (const span of [reserve, forward]) expect(span?.parentSpanContext?.spanId).toBe(request?.spanContext().spanId)
    expect(endpoint.received[0]?.request.headers['traceparent']).toBe(`00-${traceId}-${forward?.spanContext().spanId}-01`)
  })
})
