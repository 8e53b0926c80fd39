/**
 * Bench `overhead`: the path through router and endpoint process against the
 * back end called directly, in the same run, and the processor time of each role.
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
  /** Requests at the same time. */
  readonly concurrency?: number
  readonly rounds?: number
}

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
  /** Requests per second through the path as a share of those of the back end called directly. */
  readonly plainRateRatio: number
  readonly streamRateRatio: number
  /** Latency of one plain request at a time through the path, as a multiple of the direct one. */
  readonly plainP50Ratio: number
  readonly plainP95Ratio: number
  /** Requests per second of the direct and of the path runs, for the size of the ratios. */
  readonly plainPerSecond: { readonly direct: number, readonly path: number }
  readonly router: RoleCost
  readonly endpoint: RoleCost
}

interface Target {
  readonly pool: Pool
  readonly plainPath: string
  readonly headers: Readonly<Record<string, string>>
}

async function inParallel (count: number, concurrency: number, run: () => Promise<void>): Promise<number> {
  let left = count
  const startedMs = performance.now()
  await Promise.all(Array.from({ length: concurrency }, async () => {
    while (left-- > 0) await run()
  }))
  return count / (performance.now() - startedMs) * 1000
}

async function readPlain ({ pool, plainPath, headers }: Target): Promise<void> {
  const { statusCode, body } = await pool.request({ method: 'GET', path: plainPath, headers })
  await body.dump()
  if (statusCode !== 200) throw new Error(`a plain request was answered ${statusCode}`)
}

async function readStream ({ pool, headers }: Target, tokens: number): Promise<void> {
  const { statusCode, body } = await pool.request({
    method: 'POST',
    path: '/v1/chat/completions',
    headers: { ...headers, 'content-type': 'application/json' },
    body: JSON.stringify({ model: 'model', stream: true, max_tokens: tokens, messages: [{ role: 'user', content: 'bench' }] })
  })
  const text = await body.text()
  if (statusCode !== 200 || !text.includes('[DONE]')) throw new Error(`a stream was answered ${statusCode} or is incomplete`)
}

function median (values: readonly number[]): number {
  const sorted = values.toSorted((left, right) => left - right)
  return sorted[Math.floor(sorted.length / 2)] ?? 0
}

async function latencies (target: Target, count: number): Promise<{ p50: number, p95: number }> {
  const histogram = build({ bitBucketSize: 32, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 })
  for (let index = 0; index < count; index++) {
    const startedMs = performance.now()
    await readPlain(target)
    histogram.recordValue(Math.max(1, Math.round((performance.now() - startedMs) * 1000)))
  }
  return { p50: histogram.getValueAtPercentile(50), p95: histogram.getValueAtPercentile(95) }
}

/** Processor time that each process needs for a run, in microseconds. */
async function costOf (processes: readonly BenchProcess[], run: () => Promise<unknown>): Promise<readonly number[]> {
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

/** Measures in alternating rounds, so that a change of the machine's load meets both sides. */
async function measure (fleet: Fleet, options: Required<OverheadOptions>): Promise<OverheadReport> {
  const { plainRequests, streams, tokens, concurrency, rounds } = options
  const headers = { authorization: `Bearer ${callerKey}` }
  const direct: Target = { pool: new Pool(fleet.plain.url, { connections: concurrency }), plainPath: '/chambers/1', headers: {} }
  const directModel: Target = { ...direct, pool: new Pool(fleet.engine.url, { connections: concurrency }) }
  const path: Target = { pool: new Pool(fleet.router.url, { connections: concurrency }), plainPath: '/services/plain/chambers/1', headers }
  const rates = { directPlain: [] as number[], pathPlain: [] as number[], directStream: [] as number[], pathStream: [] as number[] }
  const latency = { p50: [] as number[], p95: [] as number[] }
  const costs: { plain: number[][], long: number[][], short: number[][] } = { plain: [], long: [], short: [] }
  // The first round warms the processes up and is not counted.
  for (let round = 0; round <= rounds; round++) {
    const directPlain = await inParallel(plainRequests, concurrency, () => readPlain(direct))
    let pathPlain = 0
    const plainCost = await costOf([fleet.router, fleet.plainEndpoint], async () => { pathPlain = await inParallel(plainRequests, concurrency, () => readPlain(path)) })
    const directStream = await inParallel(streams, concurrency, () => readStream(directModel, tokens))
    let pathStream = 0
    const longCost = await costOf([fleet.router, fleet.modelEndpoint], async () => { pathStream = await inParallel(streams, concurrency, () => readStream(path, tokens)) })
    const shortCost = await costOf([fleet.router, fleet.modelEndpoint], () => inParallel(streams, concurrency, () => readStream(path, 1)))
    const [directLatency, pathLatency] = [await latencies(direct, plainRequests / 4), await latencies(path, plainRequests / 4)]
    if (round === 0) continue
    rates.directPlain.push(directPlain)
    rates.pathPlain.push(pathPlain)
    rates.directStream.push(directStream)
    rates.pathStream.push(pathStream)
    latency.p50.push(pathLatency.p50 / directLatency.p50)
    latency.p95.push(pathLatency.p95 / directLatency.p95)
    costs.plain.push([...plainCost])
    costs.long.push([...longCost])
    costs.short.push([...shortCost])
  }
  await Promise.all([direct, directModel, path].map(target => target.pool.close()))
  const costAt = (role: number): RoleCost => {
    const of = (list: readonly (readonly number[])[]): number => median(list.map(cost => cost[role] ?? 0))
    return {
      cpuUsPerPlainRequest: of(costs.plain) / plainRequests,
      cpuUsPerStream: of(costs.short) / streams,
      cpuUsPerToken: (of(costs.long) - of(costs.short)) / (streams * (tokens - 1))
    }
  }
  return {
    ...options,
    plainRateRatio: median(rates.pathPlain) / median(rates.directPlain),
    streamRateRatio: median(rates.pathStream) / median(rates.directStream),
    plainP50Ratio: median(latency.p50),
    plainP95Ratio: median(latency.p95),
    plainPerSecond: { direct: median(rates.directPlain), path: median(rates.pathPlain) },
    router: costAt(0),
    endpoint: costAt(1)
  }
}

/** Runs the bench; needs the built packages. */
export async function benchOverhead (options: OverheadOptions = {}): Promise<OverheadReport> {
  const fleet = await startFleet()
  try {
    return await measure(fleet, { plainRequests: 4000, streams: 128, tokens: 200, concurrency: 32, rounds: 3, ...options })
  } finally {
    await Promise.all(Object.values(fleet).map((process: BenchProcess) => process.stop()))
  }
}
