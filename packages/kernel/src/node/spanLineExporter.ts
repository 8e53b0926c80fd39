/** Span exporter that writes JSON lines to a stream, for VMs whose log collector does not take OpenTelemetry spans. */
import type { Writable } from 'node:stream'
import { ExportResultCode, hrTimeToMicroseconds } from '@opentelemetry/core'
import type { ReadableSpan, SpanExporter } from '@opentelemetry/sdk-trace-base'

/** Formats a span as one line of JSON, with ids in hex and times in microseconds. */
function formatSpan (span: ReadableSpan): string {
  const { traceId, spanId } = span.spanContext()
  return JSON.stringify({
    traceId,
    spanId,
    parentSpanId: span.parentSpanContext?.spanId ?? null,
    process: span.resource.attributes['service.name'],
    name: span.name,
    startUs: hrTimeToMicroseconds(span.startTime),
    durationUs: hrTimeToMicroseconds(span.duration),
    attributes: span.attributes
  })
}

export function createSpanLineExporter (stream: Writable): SpanExporter {
  return {
    export (spans, done) {
      stream.write(spans.map(span => `${formatSpan(span)}\n`).join(''))
      done({ code: ExportResultCode.SUCCESS })
    },
    shutdown: async () => {}
  }
}
