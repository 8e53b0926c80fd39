/** Bench `config`: time until a configuration change reaches every process, and the platform calls that this needs. */
import { SystemTimers } from '@buckthorndrift/kernel'
import { createHttpObjectStore, type HttpObjectStore } from '@buckthorndrift/coordination'
import { startObjectApi, type ObjectApi, type ObjectApiCounters } from '@buckthorndrift/standins'
import { createRandom, type Random } from '../../shared/random.ts'
import { cutOffFromPlatform, startHolders, measureDeliveryTimes, waitForRouterDiscovery, type Distribution, type Holder, type MessageCount } from './documentHolders.ts'

export interface ConfigBenchOptions {
  /** Number of processes that hold copies of the documents; default 50. */
  readonly holders?: number
  /** Number of failure domains over which the holders are spread; default 4. */
  readonly failureDomains?: number
  /** Share of the holders that are routers; the default is 370 routers to 940 endpoint processes, as in docs/design.md section 1.6. */
  readonly routerShare?: number
  /** Number of directory documents besides the fleet text and the registry; default 64. They add to the size of each exchange, because its digest lists all documents. */
  readonly directoryDocuments?: number
  /** Number of changes per scenario; default 10. */
  readonly changes?: number
  /** Length of the period without changes in which platform calls are counted. The default is 60 000 ms, twice the longest wait of a watch call. */
  readonly quietMs?: number
  readonly seed?: number
}

export interface ConfigScenario {
  readonly scenario: 'allConnected' | 'oneDomainCutOffFromPlatform' | 'everyProcessWatches'
  readonly holders: number
  readonly changes: number
  /** Time until the last holder has a change; median and maximum over all changes. */
  readonly lastHolderSeconds: { readonly median: number, readonly highest: number }
  /** Time until the last router has a change. It is reported separately because routers decide where requests go. */
  readonly lastRouterSeconds: { readonly median: number, readonly highest: number }
  /** Time until half of the holders have a change; median and maximum over all changes. */
  readonly halfOfHoldersSeconds: { readonly median: number, readonly highest: number }
  /** Number of missed deliveries over all changes and holders: the change did not reach the holder within 30 s. */
  readonly missed: number
  readonly platformCallsPerSecondWhenQuiet: number
  readonly platformReadsPerChange: number
  /** Bytes per second that one holder sends to and receives from other holders while nothing changes, without HTTP headers. */
  readonly exchangeBytesPerSecondPerHolder: number
  /** Processor time of the bench process while nothing changes, divided by the number of holders; includes the platform stand-in. */
  readonly cpuMsPerSecondPerHolder: number
}

export interface ConfigBenchResult {
  readonly scenarios: readonly ConfigScenario[]
  /** Platform calls per second while nothing changes: of the baseline, in which every process watches the platform, divided by those with the exchange between processes. */
  readonly quietCallsBaselineRatio: number
  /** Platform reads per change in the baseline, divided by those with the exchange between processes. */
  readonly readsPerChangeBaselineRatio: number
}

const deliveryTimeoutMs = 30_000
/** Time for the processes to agree on which of them watch the platform; each process reviews this choice every second. */
const watcherSettleMs = 2000
/** The gaps between changes are random, so that changes fall at different phases of the periodic exchange between processes. */
const minChangeGapMs = 300
const changeGapJitterMs = 2000

const timers = new SystemTimers()

function sleep (durationMs: number): Promise<void> {
  return new Promise(resolve => { timers.after(durationMs, resolve) })
}

function countCalls (counters: ObjectApiCounters): number {
  return counters.read + counters.write + counters.remove + counters.list + counters.watch + counters.vms
}

function median (values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0
}

function roundToThousandths (value: number): number {
  return Math.round(value * 1000) / 1000
}

function summariseSeconds (valuesMs: readonly number[]): { readonly median: number, readonly highest: number } {
  return { median: roundToThousandths(median(valuesMs) / 1000), highest: roundToThousandths(Math.max(0, ...valuesMs) / 1000) }
}

interface ChangeTimes {
  readonly lastMs: number
  readonly lastRouterMs: number
  /** Median delivery time of the holders that received the change in time. */
  readonly halfMs: number
  readonly missed: number
}

/** Writes a change and measures its delivery to the holders. */
async function measureChange (store: HttpObjectStore, holders: readonly Holder[], change: number): Promise<ChangeTimes> {
  const current = (await store.read('config/fleet')).unwrap()
  const version = (await store.write('config/fleet', { change }, current?.version ?? 0)).unwrap()
  const times = await measureDeliveryTimes(holders, 'config/fleet', version, deliveryTimeoutMs)
  const delivered = times.filter(time => time !== undefined)
  const deliveredToRouters = times.filter((time, index) => time !== undefined && holders[index]?.role === 'router') as readonly number[]
  return { lastMs: Math.max(0, ...delivered), lastRouterMs: Math.max(0, ...deliveredToRouters), halfMs: median(delivered), missed: times.length - delivered.length }
}

interface QuietUsage {
  readonly callsPerSecond: number
  readonly bytesPerSecondPerHolder: number
  readonly cpuMsPerSecondPerHolder: number
}

async function measureQuietUsage (api: ObjectApi, messages: MessageCount, holders: number, quietMs: number): Promise<QuietUsage> {
  const before = { calls: countCalls(api.counters()), bytes: messages.bytes, cpu: process.cpuUsage() }
  await sleep(quietMs)
  const { user, system } = process.cpuUsage(before.cpu)
  return {
    cpuMsPerSecondPerHolder: (user + system) / 1000 / quietMs * 1000 / holders,
    callsPerSecond: (countCalls(api.counters()) - before.calls) / quietMs * 1000,
    // Each message counts at its sender and at its receiver.
    bytesPerSecondPerHolder: 2 * (messages.bytes - before.bytes) / quietMs * 1000 / holders
  }
}

async function runScenario (scenario: ConfigScenario['scenario'], options: Required<ConfigBenchOptions>, random: Random): Promise<ConfigScenario> {
  const api = await startObjectApi()
  const store = createHttpObjectStore({ url: api.url, timers })
  for (let index = 0; index < options.directoryDocuments; index += 1) api.table.write(`directory/${index}`, { index }, 0)
  const distribution: Distribution = scenario === 'everyProcessWatches' ? scenario : 'exchange'
  const { holders, messages } = await startHolders({
    count: options.holders,
    failureDomains: options.failureDomains,
    routerShare: options.routerShare,
    distribution,
    platformUrl: api.url,
    random
  })
  try {
    // Holders cut off from the platform receive documents from routers only, so every holder must know the routers first.
    await waitForRouterDiscovery(holders, deliveryTimeoutMs)
    await sleep(watcherSettleMs)
    if (scenario === 'oneDomainCutOffFromPlatform') await cutOffFromPlatform(holders, 'domain0')
    const quiet = await measureQuietUsage(api, messages, options.holders, options.quietMs)
    const readsBefore = api.counters().read
    const times: ChangeTimes[] = []
    for (let change = 0; change < options.changes; change += 1) {
      if (change > 0) await sleep(minChangeGapMs + random.next() * changeGapJitterMs)
      times.push(await measureChange(store, holders, change))
    }
    // Subtracts the reads of the bench itself: `measureChange` makes one per change.
    const reads = api.counters().read - readsBefore - options.changes
    return {
      scenario,
      holders: holders.length,
      changes: times.length,
      lastHolderSeconds: summariseSeconds(times.map(({ lastMs }) => lastMs)),
      lastRouterSeconds: summariseSeconds(times.map(({ lastRouterMs }) => lastRouterMs)),
      halfOfHoldersSeconds: summariseSeconds(times.map(({ halfMs }) => halfMs)),
      missed: times.reduce((sum, { missed }) => sum + missed, 0),
      platformCallsPerSecondWhenQuiet: roundToThousandths(quiet.callsPerSecond),
      platformReadsPerChange: roundToThousandths(reads / options.changes),
      exchangeBytesPerSecondPerHolder: Math.round(quiet.bytesPerSecondPerHolder),
      cpuMsPerSecondPerHolder: roundToThousandths(quiet.cpuMsPerSecondPerHolder)
    }
  } finally {
    await Promise.all(holders.map(({ kernel }) => kernel.stop()))
    await store.close()
    await api.close()
  }
}

/** Runs the three scenarios one after the other. Rejects when the platform stand-in cannot start. */
export async function runConfigBench (options: ConfigBenchOptions = {}): Promise<ConfigBenchResult> {
  const resolved = { holders: 50, failureDomains: 4, routerShare: 370 / 1310, directoryDocuments: 64, changes: 10, quietMs: 60_000, seed: 1, ...options }
  const random = createRandom(resolved.seed)
  const connected = await runScenario('allConnected', resolved, random)
  const cutOff = await runScenario('oneDomainCutOffFromPlatform', resolved, random)
  const baseline = await runScenario('everyProcessWatches', resolved, random)
  return {
    scenarios: [connected, cutOff, baseline],
    quietCallsBaselineRatio: roundToThousandths(baseline.platformCallsPerSecondWhenQuiet / connected.platformCallsPerSecondWhenQuiet),
    readsPerChangeBaselineRatio: roundToThousandths(baseline.platformReadsPerChange / connected.platformReadsPerChange)
  }
}
