/** Bench `slow-readers`: memory held for callers that do not read their responses, and their effect on the time between tokens of other callers. */
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
  /** Streams that each fast reader reads in each phase: without and with slow readers. */
  readonly streams?: number
}

export interface SlowReadersReport {
  readonly slowReaders: number
  readonly fastReaders: number
  readonly tokens: number
  readonly streams: number
  /** Heap and external memory per slow reader, without the socket buffers of the kernel. */
  readonly memoryBytesPerSlowReader: { readonly router: number, readonly endpoint: number }
  /** 95th percentile of the time between tokens of fast readers with slow readers, divided by that without. */
  readonly p95GapRatio: number
  readonly p95GapMs: { readonly without: number, readonly with: number }
}

/** Time for socket buffers to fill and for back pressure to reach the back end. */
const bufferFillMs = 4000

function sleep (ms: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, ms) })
}

/** Opens a caller connection that requests an endless body and reads nothing. */
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

/** Reads one stream and records the time between its chunks in microseconds. */
async function readStream (pool: Pool, tokens: number, gaps: Histogram): Promise<void> {
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

async function measureP95GapMs (url: string, { fastReaders, streams, tokens }: Required<SlowReadersOptions>): Promise<number> {
  const gaps = build({ bitBucketSize: 32, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 })
  const pool = new Pool(url, { connections: fastReaders })
  await Promise.all(Array.from({ length: fastReaders }, async () => {
    for (let stream = 0; stream < streams; stream++) await readStream(pool, tokens, gaps)
  }))
  await pool.close()
  return gaps.getValueAtPercentile(95) / 1000
}

async function measure (router: BenchProcess, bulkEndpoint: BenchProcess, options: Required<SlowReadersOptions>): Promise<SlowReadersReport> {
  // Warm-up, whose result is discarded.
  await measureP95GapMs(router.url, { ...options, streams: 1 })
  const without = await measureP95GapMs(router.url, options)
  const before = await Promise.all([router.usage(), bulkEndpoint.usage()])
  const slow = await Promise.all(Array.from({ length: options.slowReaders }, () => openSlowReader(router.url)))
  await sleep(bufferFillMs)
  const withSlow = await measureP95GapMs(router.url, options)
  const after = await Promise.all([router.usage(), bulkEndpoint.usage()])
  for (const socket of slow) socket.destroy()
  const bytesPerReader = (index: 0 | 1): number => Math.round((after[index].memoryBytes - before[index].memoryBytes) / options.slowReaders)
  return {
    ...options,
    memoryBytesPerSlowReader: { router: bytesPerReader(0), endpoint: bytesPerReader(1) },
    p95GapRatio: withSlow / without,
    p95GapMs: { without, with: withSlow }
  }
}

/** Runs the bench. It starts processes from `dist`, so the packages must be built. */
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
