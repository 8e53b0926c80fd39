/** Wires the components of a gateway together and starts its listeners. */
import { randomBytes } from 'node:crypto'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { performance } from 'node:perf_hooks'
import type { Log, TimerService } from '@buckthorndrift/kernel'
import { createHasher, OverloadGuard, type ClockReading } from '@buckthorndrift/policy'
import type { Address, Deployment } from '../shared/deployment.ts'
import type { Dialect } from '../shared/dialect.ts'
import { ElapsedClock } from '../shared/elapsedClock.ts'
import type { FleetStore } from '../shared/store.ts'
import { BudgetLedger } from './budgetLedger.ts'
import { CallerServer } from './callerServer.ts'
import { CrashTracker } from './crashTracker.ts'
import { EndpointLimits } from './endpointLimits.ts'
import { followFleet } from './followFleet.ts'
import { createGatewayMetrics } from './gatewayMetrics.ts'
import { GatewayState } from './gatewayState.ts'
import { LoadMeter } from './loadMeter.ts'
import { createLimitClient } from './limitClient.ts'
import { createLoanClient } from './loanClient.ts'
import { createOutcomeClient } from './outcomeClient.ts'
import { createPeerServer } from './peerServer.ts'
import { Rollouts } from './rollouts.ts'
import { RouterDirectory } from './routerDirectory.ts'
import { LoopDelay } from './loopDelay.ts'
import { meteredStore } from './meteredStore.ts'
import { readVmClocks } from './vmClocks.ts'
import { createMetricsServer, createReadinessServer } from './operationsServer.ts'

export interface StartGatewayOptions {
  readonly deployment: Deployment
  readonly dialect: Dialect
  readonly store: FleetStore
  readonly timers: TimerService
  readonly log: Log
  /** Uniform in [0, 1). */
  readonly random: () => number
  /** Clocks of the VM at the start of the process; read now if `undefined`. */
  readonly startClock?: ClockReading
  /** Number of log lines that were dropped and not yet reported. */
  readonly droppedLogLines: () => number
}

export interface Gateway {
  /** Ports that the listeners are bound to, also when port 0 was configured. */
  readonly ports: { readonly callers: number, readonly readiness: number }
  isReady (): boolean
  /** Graceful shutdown: finishes open requests within the grace period, returns unspent budget tokens and closes the listeners. */
  stop (): Promise<void>
  /** Stops at once without returning budget tokens, like a killed process. */
  kill (): void
}

/** Time within which the load balancer detects a shutdown. It checks readiness once a second and removes a router after two failed checks. */
const balancerDetectionMs = 3000
/** Part of the grace period reserved for ending the process. */
const exitMarginMs = 700
/** Longest wait for the store while unspent budget tokens are returned. */
const budgetReturnTimeoutMs = 400
const stopCheckIntervalMs = 50
/** Time for handing the answers of requests that end with the grace period to the operating system. */
const lastAnswersMs = 50
/** Maximum number of connections that wait to be accepted. */
const backlog = 1024

function listen (server: Server, address: Address): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen({ host: address.host, port: address.port, backlog }, () => {
      server.off('error', reject)
      resolve((server.address() as AddressInfo).port)
    })
  })
}

/** Starts the listeners. The gateway is ready once it has read the configuration and the endpoints from the store. */
export async function startGateway (options: StartGatewayOptions): Promise<Gateway> {
  const { deployment, dialect, timers, log, random } = options
  const incarnation = randomBytes(6).toString('hex')
  const clock = new ElapsedClock({ wallMs: () => timers.nowMs(), monotonicMs: () => performance.now() })
  const metrics = createGatewayMetrics({
    openRequests: () => state.openRequests,
    resourceUse: () => guard.utilization,
    loopDelayMs: () => loopDelay.delayMs,
    storeAgeMs: () => store.responseAgeMs(),
    droppedLogLines: options.droppedLogLines,
    evacuatedDomains: () => state.evacuations.size
  })
  const store = meteredStore(options.store, metrics)
  const peerServer = createPeerServer({
    lend: request => ledger.lend(request),
    readClock: () => ({ node: deployment.nodeName, wallMs: timers.nowMs() }),
    receiveOutcomes: report => state.rollouts.receiveReport(report),
    receiveLimit: message => state.receiveLimit(message)
  })
  const loanClient = createLoanClient()
  const { peers } = deployment
  const loans = peers === undefined ? undefined : { address: `${peers.host}:${await listen(peerServer, peers)}`, client: loanClient }
  const holder = `${deployment.nodeName}.${incarnation}`
  const ledger = new BudgetLedger({ store, timers, log, holder, nodeName: deployment.nodeName, random, loans, startClock: options.startClock ?? readVmClocks(), readClocks: readVmClocks })
  const crashes = new CrashTracker({ store, timers, log, random })
  const guard = new OverloadGuard()
  const load = new LoadMeter({ linkMbps: deployment.linkMbps, processorCores: deployment.processorCores, timers, guard })
  const outcomeClient = createOutcomeClient()
  const rollouts = new Rollouts({
    store,
    dialect,
    timers,
    log,
    holder,
    address: loans?.address,
    client: outcomeClient,
    trialShare: deployment.trialShare,
    trialSlack: deployment.trialSlack,
    random,
    // Before the routers are known, none of them uses a part of what is divided among all.
    routerCount: () => routers.routers?.length ?? Number.POSITIVE_INFINITY,
    refreshRouters: () => { routers.requestList() },
    runningAt: entry => state.runningAt(entry),
    hasEndpoint: (service, version) => state.directory.ready(service).some(endpoint => endpoint.version === version)
  })
  const hasher = await createHasher()
  const routers = new RouterDirectory({ store, timers, log, nodeName: deployment.nodeName, address: loans?.address, random, settlesSoon: deployment.coldBound !== undefined })
  const limitClient = createLimitClient()
  const limits = new EndpointLimits({ clock, timers, log, hasher, nodeName: deployment.nodeName, routers, client: limitClient, endpoints: () => state.endpoints.all(), coldStateOf: entry => state.coldStateOf(entry) })
  const state: GatewayState = new GatewayState({ deployment, dialect, clock, log, metrics, ledger, crashes, guard, load, rollouts, limits, hasher, random })
  const callers = new CallerServer(state)
  const loopDelay = new LoopDelay({ timers, log, openRequests: () => state.openRequests })
  const followers = followFleet({
    state,
    store,
    timers,
    log,
    random,
    onConfiguration: table => {
      callers.configure(table.configuration.limits)
      load.start()
    }
  })
  let wasReady = false

  function isReady (): boolean {
    const isLoaded = followers.isLoaded()
    const isStarved = ledger.isStarved()
    const isDiverting = guard.isDiverting
    const isReadyNow = isLoaded && !state.isStopping && !isStarved && !isDiverting
    if (isReadyNow !== wasReady) log.event('gatewayReady', { isReady: isReadyNow, isLoaded, isStopping: state.isStopping, isStarved, isDiverting, use: Number(guard.utilization.toFixed(2)) })
    wasReady = isReadyNow
    return isReadyNow
  }

  const servers = [callers.server, createReadinessServer(dialect.readyPath, isReady), peerServer]
  const callersPort = await listen(servers[0]!, deployment.callers)
  const readinessPort = await listen(servers[1]!, deployment.readiness)
  if (deployment.metrics !== undefined) {
    const metricsServer = createMetricsServer(metrics.registry)
    servers.push(metricsServer)
    await listen(metricsServer, deployment.metrics)
  }
  log.event('gatewayStarted', { incarnation, failureDomain: deployment.failureDomain, memoryMb: deployment.memoryMb, graceMs: deployment.graceMs })

  function closeListeners (): void {
    void loanClient.close()
    void outcomeClient.close()
    void limitClient.close()
    callers.resetUnfinished()
    for (const server of servers) {
      server.close()
      server.closeAllConnections()
    }
  }

  /** Closes the caller listener and resolves when no request is open, or when the grace period ends. */
  function waitForRequests (startedMs: number, stopAtMs: number): Promise<void> {
    const limitMs = stopAtMs - startedMs
    return new Promise(resolve => {
      const check = setInterval(() => {
        const elapsedMs = clock.nowMs() - startedMs
        if (elapsedMs < Math.min(balancerDetectionMs, limitMs)) return
        if (callers.server.listening) callers.server.close()
        callers.server.closeIdleConnections()
        if (state.openRequests > 0 && elapsedMs < limitMs) return
        clearInterval(check)
        resolve()
      }, stopCheckIntervalMs)
    })
  }

  return {
    ports: { callers: callersPort, readiness: readinessPort },
    isReady,
    async stop () {
      const startedMs = clock.nowMs()
      state.stopAtMs = startedMs + deployment.graceMs - exitMarginMs
      callers.beginShutdown()
      log.event('gatewayStopping', { openRequests: state.openRequests })
      await waitForRequests(startedMs, state.stopAtMs)
      callers.endRequests()
      await new Promise(resolve => { setTimeout(resolve, lastAnswersMs) })
      followers.stop()
      rollouts.stop()
      limits.stop()
      routers.stop()
      crashes.stop()
      loopDelay.stop()
      load.stop()
      const timedOut = new Promise<void>(resolve => { setTimeout(resolve, budgetReturnTimeoutMs) })
      await Promise.race([ledger.close(), timedOut])
      log.event('gatewayStopped', { openRequests: state.openRequests })
      closeListeners()
    },
    kill () {
      followers.stop()
      rollouts.stop()
      limits.stop()
      routers.stop()
      crashes.stop()
      loopDelay.stop()
      load.stop()
      ledger.stopTimers()
      closeListeners()
    }
  }
}
