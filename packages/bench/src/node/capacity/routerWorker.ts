/** Process entry: runs one router against the platform at the URL in the first argument, and prints the memory and processor time of the idle router. */
import { createHash } from 'node:crypto'
import { silentLog, silentMetrics, SystemTimers, createTracing } from '@buckthorndrift/kernel'
import { resolveRouterSettings, startRouter } from '@buckthorndrift/router'

/** Time for the router to load the documents of the platform before the measurement. */
const startupWaitMs = 2000
const idleSampleMs = 4000

function sleep (durationMs: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, durationMs) })
}

const platformUrl = process.argv[2] ?? ''
const resolved = resolveRouterSettings({
  flags: {
    id: 'measured',
    vm: 'vm-measured',
    failureDomain: 'c',
    region: 'local',
    platformUrl,
    fleetSecret: 'secret',
    adminKeyHashes: `bench=${createHash('sha256').update('key').digest('hex')}`,
    callerPort: '0',
    adminPort: '0',
    controlPort: '0'
  },
  environment: {}
}).unwrap()

const kernel = await startRouter({
  resolved, timers: new SystemTimers(), log: silentLog, metrics: silentMetrics, tracing: createTracing({ serviceName: 'measured' }), onDrainRequested () {}
})
await sleep(startupWaitMs)
globalThis.gc?.()
const { heapUsed, external } = process.memoryUsage()
const before = process.cpuUsage()
const beforeMs = performance.now()
await sleep(idleSampleMs)
const used = process.cpuUsage(before)
const cpuShare = (used.user + used.system) / 1000 / (performance.now() - beforeMs)
globalThis.gc?.()
process.stdout.write(`${JSON.stringify({ heapBytes: heapUsed + external, residentBytes: process.memoryUsage().rss, cpuShare })}\n`)
await kernel.stop()
process.exit(0)
