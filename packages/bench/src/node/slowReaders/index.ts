/** Bench `slowReaders`: memory held for callers that do not read, and what they cost the others. */
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { build, type Histogram } from 'hdr-histogram-js'
import { Pool } from 'undici'
import { callerKey } from '../processes/messages.ts'
import { startProcess, type BenchProcess } from '../processes/startProcess.ts'

export interface SlowReadersOptions {
  readonly slowReaders?: number
  readonly fastReaders?: number
  /** Tokens of each fast stream. */
  readonly tokens?: number
  /** Fast streams of each reader in each of the two phases. */
  readonly streams?: number
}

export interface SlowReadersReport {
  readonly slowReaders: number
  readonly fastReaders: number
  readonly tokens: number
  readonly streams: number
  /** Heap and buffers per slow reader; socket buffers of the kernel are not part of it. */
  readonly memoryBytesPerSlowReader: { readonly router: number, readonly endpoint: number }
  /** p95 gap between tokens of fast readers with slow readers, as a multiple of the gap without. */
  readonly p95GapRatio: number
  readonly p95GapMs: { readonly without: number, readonly with: number }
}

/** Time in which socket buffers fill and backpressure reaches the back end. */
const fillMs = 4000

function delay (ms: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, ms) })
}

/** A caller that asks for a body without an end and reads nothing. */
function openSlowReader (url: string): Promise<Socket> {
  const socket = connect(Number(new URL(url).port), '127.0.0.1')
  socket.pause()
  socket.on('error', () => {})
  socket.write(`GET /services/bulk/bulk HTTP/1.1\r\nhost: bench\r\nauthorization: Bearer ${callerKey}\r\n\r\n`)
  return new Promise((resolve, reject) => {
    socket.once('connect', () => { resolve(socket) })
    socket.once('error', reject)
  })
}

async function readFast (pool: Pool, tokens: number, gaps: Histogram): Promise<void> {
  const { body } = await pool.request({
    method: 'POST',
    path: '/v1/chat/completions',
    headers: { authorization: `Bearer ${callerKey}`, 'content-type': 'application/json' },
    body: JSON.stringify({ model: 'model', stream: true, max_tokens: tokens, messages: [{ role: 'user', content: 'bench' }] })
  })
  let lastMs: number | undefined
  body.on('data', () => {
    const nowMs = performance.now()
    if (lastMs !== undefined) gaps.recordValue(Math.max(1, Math.round((nowMs - lastMs) * 1000)))
    lastMs = nowMs
  })
  await once(body, 'end')
}

async function p95Gap (url: string, { fastReaders, streams, tokens }: Required<SlowReadersOptions>): Promise<number> {
  const gaps = build({ bitBucketSize: 32, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 })
  const pool = new Pool(url, { connections: fastReaders })
  await Promise.all(Array.from({ length: fastReaders }, async () => {
    for (let stream = 0; stream < streams; stream++) await readFast(pool, tokens, gaps)
  }))
  await pool.close()
  return gaps.getValueAtPercentile(95) / 1000
}

async function measure (router: BenchProcess, bulkEndpoint: BenchProcess, options: Required<SlowReadersOptions>): Promise<SlowReadersReport> {
  // The first pass warms the processes up and is not counted.
  await p95Gap(router.url, { ...options, streams: 1 })
  const without = await p95Gap(router.url, options)
  const before = await Promise.all([router.usage(), bulkEndpoint.usage()])
  const slow = await Promise.all(Array.from({ length: options.slowReaders }, () => openSlowReader(router.url)))
  await delay(fillMs)
  const withSlow = await p95Gap(router.url, options)
  const after = await Promise.all([router.usage(), bulkEndpoint.usage()])
  for (const socket of slow) socket.destroy()
  const perReader = (index: 0 | 1): number => Math.round((after[index].memoryBytes - before[index].memoryBytes) / options.slowReaders)
  return {
    ...options,
    memoryBytesPerSlowReader: { router: perReader(0), endpoint: perReader(1) },
    p95GapRatio: withSlow / without,
    p95GapMs: { without, with: withSlow }
  }
}

/** Runs the bench; needs the built packages. */
export async function benchSlowReaders (options: SlowReadersOptions = {}): Promise<SlowReadersReport> {
  const processes: BenchProcess[] = []
  const start = async (role: Parameters<typeof startProcess>[0]): Promise<BenchProcess> => {
    const started = await startProcess(role)
    processes.push(started)
    return started
  }
  try {
    const engine = await start({ kind: 'engine', settings: { stepMs: 10, stepMsPerRequest: 0, prefillMsPerToken: 0 } })
    const bulk = await start({ kind: 'bulkService' })
    const modelEndpoint = await start({ kind: 'endpoint', id: 'model-0', service: 'model', backEndUrl: engine.url, backEndKind: 'model' })
    const bulkEndpoint = await start({ kind: 'endpoint', id: 'bulk-0', service: 'bulk', backEndUrl: bulk.url, backEndKind: 'plain' })
    const endpoints = [modelEndpoint, bulkEndpoint].flatMap(({ member }) => member === undefined ? [] : [member])
    const router = await start({ kind: 'router', endpoints })
    return await measure(router, bulkEndpoint, { slowReaders: 200, fastReaders: 16, tokens: 200, streams: 3, ...options })
  } finally {
    await Promise.all(processes.map(process => process.stop()))
  }
}
