/** Memory and processor time of a router without requests, against the number of API keys and endpoints. */
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

async function measureRouter (size: FleetSize): Promise<RouterFigures> {
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

const emptyFleet: FleetSize = { keys: 0, routers: 0, endpoints: 0, services: 3 }
const sizeFractions = [0, 0.5, 1]

/** Planned size of the fleet in two years. */
const plannedSize = { keys: 75_000, endpoints: 940 }

async function measureSlopes (name: 'keys' | 'endpoints'): Promise<{ readonly heapBytes: LinearFit, readonly cpuShare: LinearFit, readonly residentBytesAtPlannedSize: number }> {
  const points: Array<RouterFigures & { readonly x: number }> = []
  for (const fraction of sizeFractions) {
    const x = plannedSize[name] * fraction
    points.push({ x, ...await measureRouter({ ...emptyFleet, [name]: x }) })
  }
  const fit = (figure: keyof RouterFigures) => fitLine(points.map(point => ({ x: point.x, y: point[figure] })))
  return { heapBytes: fit('heapBytes'), cpuShare: fit('cpuShare'), residentBytesAtPlannedSize: points.at(-1)!.residentBytes }
}

/** Measures how memory and processor time of an idle router grow per API key and per endpoint. */
export async function measureIdleRouter () {
  return { perKey: await measureSlopes('keys'), perEndpoint: await measureSlopes('endpoints') }
}
