/**
 * Bench `overhead`: compares requests through router and endpoint process with
 * direct calls of the back end in the same run, and measures the processor time
 * of router and endpoint process.
 */
import { build } from 'hdr-histogram-js'
import { Pool } from 'undici'
import { callerKey } from '../processes/messages.ts'
import { startProcess, type BenchProcess } from '../processes/startProcess.ts'

export interface OverheadOptions {
  /** Plain requests per round. */
  readonly plainRequests?: number
  /** Streams per round. */
  readonly streams?: number
  /** Tokens of each stream. */
  readonly tokens?: number
  /** Concurrent requests. */
  readonly concurrency?: number
  readonly rounds?: number
}

/** Processor time of one process. */
export interface RoleCost {
  readonly cpuUsPerPlainRequest: number
  readonly cpuUsPerStream: number
  readonly cpuUsPerToken: number
}

export interface OverheadReport {
  readonly concurrency: number
  readonly rounds: number
  readonly plainRequests: number
  readonly streams: number
  readonly tokens: number
  /** Plain requests per second through router and endpoint process, divided by those of direct calls. */
  readonly plainRateRatio: number
  /** Streams per second through router and endpoint process, divided by those of direct calls. */
  readonly streamRateRatio: number
  /** Median latency of sequential plain requests through router and endpoint process, divided by that of direct calls. */
  readonly plainP50Ratio: number
  /** 95th percentile of the latency of these plain requests through router and endpoint process, divided by that of direct calls. */
  readonly plainP95Ratio: number
  /** Absolute plain requests per second of direct calls and through router and endpoint process (`path`). */
  readonly plainPerSecond: { readonly direct: number, readonly path: number }
  readonly router: RoleCost
  readonly endpoint: RoleCost
}

interface Target {
  readonly pool: Pool
  readonly plainPath: string
  readonly headers: Readonly<Record<string, string>>
}

/** Makes `count` calls of `run`, at most `concurrency` at a time, and returns the calls per second. */
async function measureRequestRate (count: number, concurrency: number, run: () => Promise<void>): Promise<number> {
  let remaining = count
  const startedMs = performance.now()
  await Promise.all(Array.from({ length: concurrency }, async () => {
    while (remaining-- > 0) await run()
  }))
  return count / (performance.now() - startedMs) * 1000
}

async function readPlain ({ pool, plainPath, headers }: Target): Promise<void> {
  const { statusCode, body } = await pool.request({ method: 'GET', path: plainPath, headers })
  await body.dump()
  if (statusCode !== 200) throw new Error(`plain request failed with status ${statusCode}`)
}

async function readStream ({ pool, headers }: Target, tokens: number): Promise<void> {
  const { statusCode, body } = await pool.request({
    method: 'POST',
    path: '/v1/chat/completions',
    headers: { ...headers, 'content-type': 'application/json' },
    body: JSON.stringify({ model: 'model', stream: true, max_tokens: tokens, messages: [{ role: 'user', content: 'bench' }] })
  })
  const text = await body.text()
  if (statusCode !== 200 || !text.includes('[DONE]')) throw new Error(`stream with status ${statusCode} failed or is incomplete`)
}

function median (values: readonly number[]): number {
  const sorted = values.toSorted((left, right) => left - right)
  return sorted[Math.floor(sorted.length / 2)] ?? 0
}

/** Latency of `count` sequential plain requests, in microseconds. */
async function measureLatencies (target: Target, count: number): Promise<{ p50: number, p95: number }> {
  const histogram = build({ bitBucketSize: 32, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 })
  for (let index = 0; index < count; index++) {
    const startedMs = performance.now()
    await readPlain(target)
    histogram.recordValue(Math.max(1, Math.round((performance.now() - startedMs) * 1000)))
  }
  return { p50: histogram.getValueAtPercentile(50), p95: histogram.getValueAtPercentile(95) }
}

/** Processor time of each process during `run`, in microseconds. */
async function measureCpuUs (processes: readonly BenchProcess[], run: () => Promise<unknown>): Promise<readonly number[]> {
  const before = await Promise.all(processes.map(process => process.usage()))
  await run()
  const after = await Promise.all(processes.map(process => process.usage()))
  return after.map((usage, index) => usage.cpuUs - (before[index]?.cpuUs ?? 0))
}

interface Fleet {
  readonly engine: BenchProcess
  readonly plain: BenchProcess
  readonly router: BenchProcess
  readonly modelEndpoint: BenchProcess
  readonly plainEndpoint: BenchProcess
}

async function startFleet (): Promise<Fleet> {
  const engine = await startProcess({ kind: 'engine', settings: { stepMs: 2, stepMsPerRequest: 0, prefillMsPerToken: 0 } })
  const plain = await startProcess({ kind: 'plainService', delayMs: 0 })
  const modelEndpoint = await startProcess({ kind: 'endpoint', id: 'model-0', service: 'model', backEndUrl: engine.url, backEndKind: 'model' })
  const plainEndpoint = await startProcess({ kind: 'endpoint', id: 'plain-0', service: 'plain', backEndUrl: plain.url, backEndKind: 'plain' })
  const members = [modelEndpoint, plainEndpoint].flatMap(({ member }) => member === undefined ? [] : [member])
  const router = await startProcess({ kind: 'router', endpoints: members })
  return { engine, plain, router, modelEndpoint, plainEndpoint }
}

/** Alternates direct and routed calls in each round, so that changes in the load of the machine affect both. */
async function measure (fleet: Fleet, options: Required<OverheadOptions>): Promise<OverheadReport> {
  const { plainRequests, streams, tokens, concurrency, rounds } = options
  const headers = { authorization: `Bearer ${callerKey}` }
  const direct: Target = { pool: new Pool(fleet.plain.url, { connections: concurrency }), plainPath: '/chambers/1', headers: {} }
  const directModel: Target = { ...direct, pool: new Pool(fleet.engine.url, { connections: concurrency }) }
  const routed: Target = { pool: new Pool(fleet.router.url, { connections: concurrency }), plainPath: '/services/plain/chambers/1', headers }
  const rates = { directPlain: [] as number[], routedPlain: [] as number[], directStream: [] as number[], routedStream: [] as number[] }
  const latency = { p50: [] as number[], p95: [] as number[] }
  const costs: { plain: number[][], long: number[][], short: number[][] } = { plain: [], long: [], short: [] }
  // The first round is a warm-up and is not counted.
  for (let round = 0; round <= rounds; round++) {
    const directPlain = await measureRequestRate(plainRequests, concurrency, () => readPlain(direct))
    let routedPlain = 0
    const plainCost = await measureCpuUs([fleet.router, fleet.plainEndpoint], async () => { routedPlain = await measureRequestRate(plainRequests, concurrency, () => readPlain(routed)) })
    const directStream = await measureRequestRate(streams, concurrency, () => readStream(directModel, tokens))
    let routedStream = 0
    const longCost = await measureCpuUs([fleet.router, fleet.modelEndpoint], async () => { routedStream = await measureRequestRate(streams, concurrency, () => readStream(routed, tokens)) })
    const shortCost = await measureCpuUs([fleet.router, fleet.modelEndpoint], () => measureRequestRate(streams, concurrency, () => readStream(routed, 1)))
    const [directLatency, routedLatency] = [await measureLatencies(direct, plainRequests / 4), await measureLatencies(routed, plainRequests / 4)]
    if (round === 0) continue
    rates.directPlain.push(directPlain)
    rates.routedPlain.push(routedPlain)
    rates.directStream.push(directStream)
    rates.routedStream.push(routedStream)
    latency.p50.push(routedLatency.p50 / directLatency.p50)
    latency.p95.push(routedLatency.p95 / directLatency.p95)
    costs.plain.push([...plainCost])
    costs.long.push([...longCost])
    costs.short.push([...shortCost])
  }
  await Promise.all([direct, directModel, routed].map(target => target.pool.close()))
  // Streams of one token give the cost of a stream; longer streams give the cost of each further token.
  const costOfProcess = (index: number): RoleCost => {
    const medianCpuUs = (list: readonly (readonly number[])[]): number => median(list.map(cost => cost[index] ?? 0))
    return {
      cpuUsPerPlainRequest: medianCpuUs(costs.plain) / plainRequests,
      cpuUsPerStream: medianCpuUs(costs.short) / streams,
      cpuUsPerToken: (medianCpuUs(costs.long) - medianCpuUs(costs.short)) / (streams * (tokens - 1))
    }
  }
  return {
    ...options,
    plainRateRatio: median(rates.routedPlain) / median(rates.directPlain),
    streamRateRatio: median(rates.routedStream) / median(rates.directStream),
    plainP50Ratio: median(latency.p50),
    plainP95Ratio: median(latency.p95),
    plainPerSecond: { direct: median(rates.directPlain), path: median(rates.routedPlain) },
    router: costOfProcess(0),
    endpoint: costOfProcess(1)
  }
}

/** Runs the bench. It starts processes from `dist`, so the packages must be built. */
export async function benchOverhead (options: OverheadOptions = {}): Promise<OverheadReport> {
  const fleet = await startFleet()
  try {
    return await measure(fleet, { plainRequests: 4000, streams: 128, tokens: 200, concurrency: 32, rounds: 3, ...options })
  } finally {
    await Promise.all(Object.values(fleet).map((process: BenchProcess) => process.stop()))
  }
}
