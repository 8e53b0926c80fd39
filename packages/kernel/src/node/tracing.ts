/** Traces: a span for each hop, with context passed on by the W3C `traceparent` header. */
import { context, trace, type Context, type Span, type Tracer } from '@opentelemetry/api'
import { W3CTraceContextPropagator } from '@opentelemetry/core'
import { resourceFromAttributes } from '@opentelemetry/resources'
import { BatchSpanProcessor, type SpanExporter, type SpanProcessor } from '@opentelemetry/sdk-trace-base'
import { NodeTracerProvider } from '@opentelemetry/sdk-trace-node'

export interface TracingOptions {
  readonly serviceName: string
  /** Where finished spans go; without one, spans are created but not exported. */
  readonly exporter?: SpanExporter
}

export interface Tracing {
  readonly tracer: Tracer
  /** Context named by incoming headers, or an empty one. */
  extract (headers: Readonly<Record<string, string | readonly string[] | undefined>>): Context
  /** Headers that carry the span to the next hop. */
  inject (span: Span): Readonly<Record<string, string>>
  close (): Promise<void>
}

const propagator = new W3CTraceContextPropagator()

/** Creates the tracer of a process. */
export function createTracing (options: TracingOptions): Tracing {
  const spanProcessors: SpanProcessor[] = options.exporter === undefined ? [] : [new BatchSpanProcessor(options.exporter)]
  const provider = new NodeTracerProvider({
    resource: resourceFromAttributes({ 'service.name': options.serviceName }),
    spanProcessors
  })
  return {
    tracer: provider.getTracer('buckthorndrift'),
    extract: headers => propagator.extract(context.active(), headers, {
      get: (carrier, key) => carrier[key] as string | string[] | undefined,
      keys: carrier => Object.keys(carrier)
    }),
    inject (span) {
      const carrier: Record<string, string> = {}
      propagator.inject(trace.setSpan(context.active(), span), carrier, {
        set: (target, key, value) => { target[key] = value }
      })
      return carrier
    },
    close: () => provider.shutdown()
  }
}

/** Context of a span, as the parent of further spans in the same process. */
export function contextWithSpan (span: Span): Context {
  return trace.setSpan(context.active(), span)
}
