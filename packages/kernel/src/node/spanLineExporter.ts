/** Writes finished spans as JSON lines to a stream, for VMs that ship logs but no spans. */
import type { Writable } from 'node:stream'
import { ExportResultCode, hrTimeToMicroseconds } from '@opentelemetry/core'
import type { ReadableSpan, SpanExporter } from '@opentelemetry/sdk-trace-base'

/** Fields of one line: ids in hex, times in microseconds. */
function lineOf (span: ReadableSpan): string {
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

/** Creates an exporter that writes to `stream`. */
export function createSpanLineExporter (stream: Writable): SpanExporter {
  return {
    export (spans, done) {
      stream.write(spans.map(span => `${lineOf(span)}\n`).join(''))
      done({ code: ExportResultCode.SUCCESS })
    },
    shutdown: async () => {}
  }
}
