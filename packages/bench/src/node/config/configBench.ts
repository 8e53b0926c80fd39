/** Bench `config`: how long a change takes to every process, and what that costs the platform. */
import { SystemTimers } from '@buckthorndrift/kernel'
import { createHttpObjectStore, type HttpObjectStore } from '@buckthorndrift/coordination'
import { startObjectApi, type ObjectApi, type ObjectApiCounters } from '@buckthorndrift/standins'
import { createRandom, type Random } from '../../shared/random.ts'
import { cutOffFromPlatform, startHolders, timesUntilHeld, waitUntilAcquainted, type Distribution, type Holder, type MessageCount } from './holders.ts'

export interface ConfigBenchOptions {
  /** 50 */
  readonly holders?: number
  /** 4 */
  readonly failureDomains?: number
  /** 370 routers to 940 endpoint processes, as in docs/design.md section 1.6. */
  readonly routerShare?: number
  /** Directory documents besides the fleet text and the registry, which every comparison lists, 64. */
  readonly directoryDocuments?: number
  /** Changes per scenario, 10. */
  readonly changes?: number
  /** Length of the quiet period in which calls are counted, 60 000 ms: two of the longest waits of a watch. */
  readonly quietMs?: number
  readonly seed?: number
}

export interface ConfigScenario {
  readonly scenario: 'allConnected' | 'oneDomainCutOffFromPlatform' | 'everyProcessWatches'
  readonly holders: number
  readonly changes: number
  /** Time until the last holder has the change, over all changes. */
  readonly lastHolderSeconds: { readonly median: number, readonly highest: number }
  /** Time until the last router has it, over all changes; routers decide where work goes. */
  readonly lastRouterSeconds: { readonly median: number, readonly highest: number }
  /** Time until half of the holders have it, over all changes. */
  readonly halfOfHoldersSeconds: { readonly median: number, readonly highest: number }
  /** Pairs of change and holder where the change did not arrive within 30 s. */
  readonly missed: number
  readonly platformCallsPerSecondWhenQuiet: number
  readonly platformReadsPerChange: number
  /** Messages between holders per holder when quiet, both directions, without HTTP headers. */
  readonly exchangeBytesPerSecondPerHolder: number
  /** Processor time of the bench process per holder when quiet; the share of the platform's stand-in is included. */
  readonly cpuMsPerSecondPerHolder: number
}

export interface ConfigBenchResult {
  readonly scenarios: readonly ConfigScenario[]
  /** Calls when quiet of the baseline in which every process watches, divided by those of the exchange. */
  readonly quietCallsBaselineRatio: number
  /** Reads per change of the baseline divided by those of the exchange. */
  readonly readsPerChangeBaselineRatio: number
}

const limitMs = 30_000
const settleMs = 2000
/** Between changes, so that they meet the comparisons at different phases. */
const shortestGapMs = 300
const gapSpreadMs = 2000

const timers = new SystemTimers()

function pause (durationMs: number): Promise<void> {
  return new Promise(resolve => { timers.after(durationMs, resolve) })
}

function callsOf (counters: ObjectApiCounters): number {
  return counters.read + counters.write + counters.remove + counters.list + counters.watch + counters.vms
}

function median (values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0
}

function rounded (value: number): number {
  return Math.round(value * 1000) / 1000
}

function summary (valuesMs: readonly number[]): { readonly median: number, readonly highest: number } {
  return { median: rounded(median(valuesMs) / 1000), highest: rounded(Math.max(0, ...valuesMs) / 1000) }
}

interface ChangeTimes {
  readonly lastMs: number
  readonly lastRouterMs: number
  readonly halfMs: number
  readonly missed: number
}

async function makeChange (store: HttpObjectStore, holders: readonly Holder[], change: number): Promise<ChangeTimes> {
  const present = (await store.read('config/fleet')).unwrap()
  const version = (await store.write('config/fleet', { change }, present?.version ?? 0)).unwrap()
  const times = await timesUntilHeld(holders, 'config/fleet', version, limitMs)
  const held = times.filter(time => time !== undefined)
  const heldByRouters = times.filter((time, index) => time !== undefined && holders[index]?.role === 'router') as readonly number[]
  return { lastMs: Math.max(0, ...held), lastRouterMs: Math.max(0, ...heldByRouters), halfMs: median(held), missed: times.length - held.length }
}

interface Quiet {
  readonly callsPerSecond: number
  readonly bytesPerSecondPerHolder: number
  readonly cpuMsPerSecondPerHolder: number
}

async function countWhenQuiet (api: ObjectApi, messages: MessageCount, holders: number, quietMs: number): Promise<Quiet> {
  const before = { calls: callsOf(api.counters()), bytes: messages.bytes, cpu: process.cpuUsage() }
  await pause(quietMs)
  const { user, system } = process.cpuUsage(before.cpu)
  return {
    cpuMsPerSecondPerHolder: (user + system) / 1000 / quietMs * 1000 / holders,
    callsPerSecond: (callsOf(api.counters()) - before.calls) / quietMs * 1000,
    // Each message loads its sender and its receiver.
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
    // A holder that is cut off before it knows a router cannot follow anything; the scenarios begin after that.
    await waitUntilAcquainted(holders, limitMs)
    // The watchers are reviewed each second.
    await pause(settleMs)
    if (scenario === 'oneDomainCutOffFromPlatform') await cutOffFromPlatform(holders, 'domain0')
    const quiet = await countWhenQuiet(api, messages, options.holders, options.quietMs)
    const readsBefore = api.counters().read
    const times: ChangeTimes[] = []
    for (let change = 0; change < options.changes; change += 1) {
      if (change > 0) await pause(shortestGapMs + random.next() * gapSpreadMs)
      times.push(await makeChange(store, holders, change))
    }
    // One read per change is the bench's own.
    const reads = api.counters().read - readsBefore - options.changes
    return {
      scenario,
      holders: holders.length,
      changes: times.length,
      lastHolderSeconds: summary(times.map(({ lastMs }) => lastMs)),
      lastRouterSeconds: summary(times.map(({ lastRouterMs }) => lastRouterMs)),
      halfOfHoldersSeconds: summary(times.map(({ halfMs }) => halfMs)),
      missed: times.reduce((sum, { missed }) => sum + missed, 0),
      platformCallsPerSecondWhenQuiet: rounded(quiet.callsPerSecond),
      platformReadsPerChange: rounded(reads / options.changes),
      exchangeBytesPerSecondPerHolder: Math.round(quiet.bytesPerSecondPerHolder),
      cpuMsPerSecondPerHolder: rounded(quiet.cpuMsPerSecondPerHolder)
    }
  } finally {
    await Promise.all(holders.map(({ kernel }) => kernel.stop()))
    await store.close()
    await api.close()
  }
}

/** Runs the three scenarios one after the other. Throws when the stand-in of the platform cannot start. */
export async function runConfigBench (options: ConfigBenchOptions = {}): Promise<ConfigBenchResult> {
  const resolved = { holders: 50, failureDomains: 4, routerShare: 370 / 1310, directoryDocuments: 64, changes: 10, quietMs: 60_000, seed: 1, ...options }
  const random = createRandom(resolved.seed)
  const connected = await runScenario('allConnected', resolved, random)
  const cutOff = await runScenario('oneDomainCutOffFromPlatform', resolved, random)
  const baseline = await runScenario('everyProcessWatches', resolved, random)
  return {
    scenarios: [connected, cutOff, baseline],
    quietCallsBaselineRatio: rounded(baseline.platformCallsPerSecondWhenQuiet / connected.platformCallsPerSecondWhenQuiet),
    readsPerChangeBaselineRatio: rounded(baseline.platformReadsPerChange / connected.platformReadsPerChange)
  }
}
