/** Prometheus metrics of the gateway. */
import type { ResourceUse } from '@buckthorndrift/policy'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'

const prefix = 'buckthorndrift_'
const latencyBucketsMs = [5, 10, 25, 50, 100, 200, 400, 800, 1600, 3200, 6400, 15_000]
const bytesPerMb = 1e6

export interface GatewayMetrics {
  readonly registry: Registry
  readonly requests: Counter<'service' | 'outcome'>
  readonly refusals: Counter<'reason'>
  readonly attempts: Counter<'service'>
  readonly limitedAttempts: Counter<'service'>
  readonly coldAttempts: Counter<'service'>
  readonly retries: Counter<'service'>
  readonly firstByteMs: Histogram<'service'>
  readonly eventGapMs: Histogram<'service'>
  readonly durationMs: Histogram<'service'>
  readonly budgetWaitMs: Histogram
  readonly storeCalls: Counter<'kind' | 'operation' | 'outcome'>
  readonly storeCallMs: Histogram<'operation'>
  readonly callerLimits: Counter<'limit'>
  readonly configurationVersion: Gauge
}

/** Functions that supply the gauge values when the metrics are read. */
export interface GaugeSources {
  openRequests (): number
  resourceUse (): ResourceUse
  loopDelayMs (): number
  /** Time since the last response of the store. */
  storeAgeMs (): number
  /** Age of the engine loads that other routers told; `Infinity` without any. */
  sharedLoadAgeMs (): number
  /** Memory of the budget that requests hold. */
  heldBytes (): number
  droppedLogLines (): number
  /** Failure domains that operators have evacuated. */
  evacuatedDomains (): number
}

const zero = (): number => 0
/** Sources for metrics that nobody measures, such as those of the documentation page. */
export const zeroSources: GaugeSources = {
  openRequests: zero,
  resourceUse: () => ({ link: 0, processor: 0, processorWaitMs: 0 }),
  loopDelayMs: zero,
  sharedLoadAgeMs: () => Infinity,
  storeAgeMs: zero,
  heldBytes: zero,
  droppedLogLines: zero,
  evacuatedDomains: zero
}

export function createGatewayMetrics (sources: GaugeSources): GatewayMetrics {
  const registry = new Registry()
  const registers = [registry]

  function counter <Label extends string> (name: string, help: string, labelNames: Label[]): Counter<Label> {
    return new Counter({ name: `${prefix}${name}`, help, labelNames, registers })
  }

  function histogram <Label extends string> (name: string, help: string, labelNames: Label[]): Histogram<Label> {
    return new Histogram({ name: `${prefix}${name}`, help, labelNames, buckets: latencyBucketsMs, registers })
  }

  function gauge (name: string, help: string, read: () => number): void {
    registers[0]!.registerMetric(new Gauge({ name: `${prefix}${name}`, help, registers: [], collect () { this.set(read()) } }))
  }

  gauge('open_requests', 'requests that are being answered', sources.openRequests)
  gauge('resource_use_ratio', 'used share of the network link or the processor, whichever is scarcer', () => Math.max(sources.resourceUse().link, sources.resourceUse().processor))
  gauge('link_use_ratio', 'used share of the network link, in the direction that is used more', () => sources.resourceUse().link)
  gauge('processor_use_ratio', 'used share of the processor', () => sources.resourceUse().processor)
  gauge('processor_wait_ms', 'mean time for which requests wait until the processor takes them up, in ms', () => sources.resourceUse().processorWaitMs)
  gauge('event_loop_delay_ms', 'how late the event loop is, in ms', sources.loopDelayMs)
  gauge('store_age_ms', 'time since the store last answered, in ms', sources.storeAgeMs)
  gauge('shared_load_age_ms', 'age of the engine loads that other routers told, in ms; +Inf without any', sources.sharedLoadAgeMs)
  gauge('dropped_log_lines', 'log lines dropped since the last line that said so', sources.droppedLogLines)
  gauge('evacuated_failure_domains', 'failure domains whose endpoints get no new requests', sources.evacuatedDomains)
  gauge('held_memory_bytes', 'memory that requests of callers and messages of other routers hold, in bytes', sources.heldBytes)
  gauge('resident_memory_mb', 'resident memory in MB', () => process.memoryUsage.rss() / bytesPerMb)
  return {
    registry,
    requests: counter('requests_total', 'requests by service and outcome', ['service', 'outcome']),
    refusals: counter('refusals_total', 'refused or failed requests by reason', ['reason']),
    attempts: counter('attempts_total', 'attempts at endpoints', ['service']),
    limitedAttempts: counter('limited_attempts_total', 'attempts at endpoints that limit the requests of all routers together', ['service']),
    coldAttempts: counter('cold_attempts_total', 'attempts at endpoints that said they were cold', ['service']),
    retries: counter('retries_total', 'attempts after the first one of a request', ['service']),
    firstByteMs: histogram('first_byte_ms', 'time to the first byte of the answer in ms', ['service']),
    eventGapMs: histogram('event_gap_ms', 'longest pause between the events of a stream in ms', ['service']),
    durationMs: histogram('duration_ms', 'time to the end of the answer in ms', ['service']),
    budgetWaitMs: histogram('budget_wait_ms', 'time that a request waited for tokens of its budget in ms', []),
    storeCalls: counter('store_calls_total', 'calls to the object store by kind of object, operation and outcome', ['kind', 'operation', 'outcome']),
    storeCallMs: histogram('store_call_ms', 'time to the answer of the object store in ms, without watches', ['operation']),
    callerLimits: counter('caller_limits_total', 'requests refused or connections closed because a limit was reached', ['limit']),
    configurationVersion: new Gauge({ name: `${prefix}configuration_version`, help: 'version of the configuration in force', registers })
  }
}

/** Renders the documentation page of all metrics. `otherPrograms` is the page of the other programs, to which the gateway's section is appended. */
export async function metricsPage (otherPrograms: string): Promise<string> {
  const { registry } = createGatewayMetrics(zeroSources)
  const metrics = await registry.getMetricsAsJSON()
  const rows = metrics.map(({ name, type, help }) => `| \`${name}\` | ${String(type)} | ${help} |`).sort()
  const intro = '## Gateway\n\nServed as text on the metrics address; the label `service` has one value for each service.'
  return `${[otherPrograms, intro, '', '| name | kind | meaning |', '| --- | --- | --- |', ...rows].join('\n')}\n`
}
