/** Composes a gateway from its parts. */
import { randomBytes } from 'node:crypto'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { performance } from 'node:perf_hooks'
import type { Log, TimerService } from '@buckthorndrift/kernel'
import { createHasher, OverloadGuard } from '@buckthorndrift/policy'
import type { Address, Deployment } from '../shared/deployment.ts'
import type { Dialect } from '../shared/dialect.ts'
import { ElapsedClock } from '../shared/elapsedClock.ts'
import type { FleetStore } from '../shared/store.ts'
import { BudgetLedger } from './budgetLedger.ts'
import { CallerServer } from './callerServer.ts'
import { CrashWatch } from './crashWatch.ts'
import { followFleet } from './followFleet.ts'
import { createGatewayMetrics } from './gatewayMetrics.ts'
import { GatewayState } from './gatewayState.ts'
import { LoadMeter } from './loadMeter.ts'
import { createLoanClient } from './loanClient.ts'
import { createLoanServer } from './loanServer.ts'
import { LoopDelay } from './loopDelay.ts'
import { meteredStore } from './meteredStore.ts'
import { createMetricsServer, createReadinessServer } from './operationsServer.ts'

export interface StartGatewayOptions {
  readonly deployment: Deployment
  readonly dialect: Dialect
  readonly store: FleetStore
  readonly timers: TimerService
  readonly log: Log
  /** Uniform in [0, 1). */
  readonly random: () => number
  /** Log lines that were dropped and not yet reported. */
  readonly droppedLogLines: () => number
}

export interface Gateway {
  /** Ports of the listeners, for listeners that took a free one. */
  readonly ports: { readonly callers: number, readonly readiness: number }
  isReady (): boolean
  /** Finishes open requests within the grace period, gives unspent budgets back and closes the listeners. */
  stop (): Promise<void>
  /** Ends at once, as a killed process would. */
  kill (): void
}

/** The balancer takes a router out after two failed checks, one a second. */
const balancerNoticeMs = 3000
/** Part of the grace period kept for ending the process. */
const exitMarginMs = 700
/** Longest wait for the store while unspent budgets are given back. */
const returnLimitMs = 400
const stopCheckMs = 50
/** Connections that wait to be accepted. */
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

/** Starts the listeners; the gateway is ready once it has read configuration and endpoints. */
export async function startGateway (options: StartGatewayOptions): Promise<Gateway> {
  const { deployment, dialect, timers, log, random } = options
  const incarnation = randomBytes(6).toString('hex')
  const clock = new ElapsedClock({ wallMs: () => timers.nowMs(), monotonicMs: () => performance.now() })
  const metrics = createGatewayMetrics({
    openRequests: () => state.openRequests,
    use: () => guard.use,
    loopDelayMs: () => loopDelay.delayMs,
    storeAgeMs: () => store.answerAgeMs(),
    droppedLogLines: options.droppedLogLines
  })
  const store = meteredStore(options.store, metrics)
  const loanServer = createLoanServer(request => ledger.lend(request))
  const loanClient = createLoanClient()
  const { peers } = deployment
  const loans = peers === undefined ? undefined : { address: `${peers.host}:${await listen(loanServer, peers)}`, client: loanClient }
  const ledger = new BudgetLedger({ store, timers, log, holder: `${deployment.nodeName}.${incarnation}`, nodeName: deployment.nodeName, random, loans })
  const crashes = new CrashWatch({ store, timers, log })
  const guard = new OverloadGuard()
  const load = new LoadMeter({ linkMbps: deployment.linkMbps, processorCores: deployment.processorCores, timers, guard })
  const state = new GatewayState({ deployment, dialect, clock, log, metrics, ledger, crashes, guard, load, hasher: await createHasher(), random })
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
    const now = isLoaded && !state.isStopping && !isStarved && !isDiverting
    if (now !== wasReady) log.event('gatewayReady', { isReady: now, isLoaded, isStopping: state.isStopping, isStarved, isDiverting, use: Number(guard.use.toFixed(2)) })
    wasReady = now
    return now
  }

  const servers = [callers.server, createReadinessServer(dialect.readyPath, isReady), loanServer]
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
    for (const server of servers) {
      server.close()
      server.closeAllConnections()
    }
  }

  /** Resolves when no request is open any more, or the grace period is over. */
  function requestsFinished (startedMs: number): Promise<void> {
    const limitMs = deployment.graceMs - exitMarginMs
    return new Promise(resolve => {
      const check = setInterval(() => {
        const elapsedMs = clock.nowMs() - startedMs
        if (elapsedMs < Math.min(balancerNoticeMs, limitMs)) return
        if (callers.server.listening) callers.server.close()
        callers.server.closeIdleConnections()
        if (state.openRequests > 0 && elapsedMs < limitMs) return
        clearInterval(check)
        resolve()
      }, stopCheckMs)
    })
  }

  return {
    ports: { callers: callersPort, readiness: readinessPort },
    isReady,
    async stop () {
      const startedMs = clock.nowMs()
      state.isStopping = true
      callers.beginShutdown()
      log.event('gatewayStopping', { openRequests: state.openRequests })
      await requestsFinished(startedMs)
      followers.stop()
      crashes.stop()
      loopDelay.stop()
      load.stop()
      const timedOut = new Promise<void>(resolve => { setTimeout(resolve, returnLimitMs) })
      await Promise.race([ledger.close(), timedOut])
      log.event('gatewayStopped', { openRequests: state.openRequests })
      closeListeners()
    },
    kill () {
      followers.stop()
      crashes.stop()
      loopDelay.stop()
      load.stop()
      ledger.abandon()
      closeListeners()
    }
  }
}
