/** Memory and processor time of a router at rest, against the number of keys, routers and endpoints. */
import { spawn } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { text } from 'node:stream/consumers'
import { fitLine, type LinearFit } from '../../shared/linearFit.ts'
import { startSamplePlatform, type FleetSize } from './sampleFleet.ts'

interface RouterFigures {
  readonly heapBytes: number
  readonly residentBytes: number
  readonly cpuShare: number
}

async function measure (size: FleetSize): Promise<RouterFigures> {
  const api = await startSamplePlatform(size)
  try {
    const worker = fileURLToPath(new URL('./routerWorker.js', import.meta.url))
    const child = spawn(process.execPath, ['--expose-gc', worker, api.url], { stdio: ['ignore', 'pipe', 'inherit'] })
    const output = await text(child.stdout)
    return JSON.parse(output) as RouterFigures
  } finally {
    await api.close()
  }
}

const none: FleetSize = { keys: 0, routers: 0, endpoints: 0, services: 3 }
const steps = [0, 0.5, 1]

/** Sizes in two years. */
const planned = { keys: 75_000, endpoints: 940 }

async function slopeOf (name: 'keys' | 'endpoints'): Promise<{ readonly heapBytes: LinearFit, readonly cpuShare: LinearFit, readonly residentBytesAtPlannedSize: number }> {
  const points: Array<RouterFigures & { readonly x: number }> = []
  for (const step of steps) {
    const x = planned[name] * step
    points.push({ x, ...await measure({ ...none, [name]: x }) })
  }
  const fit = (figure: keyof RouterFigures) => fitLine(points.map(point => ({ x: point.x, y: point[figure] })))
  return { heapBytes: fit('heapBytes'), cpuShare: fit('cpuShare'), residentBytesAtPlannedSize: points.at(-1)!.residentBytes }
}

/** Slopes per key and per endpoint. */
export async function measureRouterAtRest () {
  return { perKey: await slopeOf('keys'), perEndpoint: await slopeOf('endpoints') }
}
