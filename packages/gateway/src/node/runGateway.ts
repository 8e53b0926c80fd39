/** Starts a gateway process and stops it gracefully. */
import { randomBytes } from 'node:crypto'
import type { Server } from 'node:http'
import { performance } from 'node:perf_hooks'
import { SystemTimers } from '@buckthorndrift/kernel'
import { createHasher } from '@buckthorndrift/policy'
import type { Address, Deployment } from '../shared/deployment.ts'
import type { Dialect } from '../shared/dialect.ts'
import { ElapsedClock } from '../shared/elapsedClock.ts'
import type { FleetStore } from '../shared/store.ts'
import { BudgetLedger } from './budgetLedger.ts'
import { CallerServer } from './callerServer.ts'
import { createDecisionLog } from './decisionLog.ts'
import { followFleet } from './followFleet.ts'
import { createGatewayMetrics } from './gatewayMetrics.ts'
import { GatewayState } from './gatewayState.ts'
import { createMetricsServer, createReadinessServer } from './operationsServer.ts'

export interface GatewayOptions {
  readonly deployment: Deployment
  readonly dialect: Dialect
  readonly store: FleetStore & { close (): Promise<void> }
  /** Reads the settings again; throws when they are invalid. */
  readonly reloadDeployment: () => Deployment
}

/** The balancer takes a router out after two failed checks, one a second. */
const balancerNoticeMs = 3000
/** Part of the grace period kept for ending the process. */
const exitMarginMs = 700
/** Longest wait for the store while unspent budgets are given back. */
const returnLimitMs = 400
const stopCheckMs = 50

function listen (server: Server, address: Address): void {
  server.listen({ host: address.host, port: address.port, backlog: 1024 })
}

export function runGateway (options: GatewayOptions): void {
  const { deployment, dialect, store } = options
  const timers = new SystemTimers()
  const random = Math.random
  const incarnation = randomBytes(6).toString('hex')
  const { log, lines } = createDecisionLog(deployment.nodeName)
  const clock = new ElapsedClock({ wallMs: () => Date.now(), monotonicMs: () => performance.now() })
  const metrics = createGatewayMetrics()
  const ledger = new BudgetLedger({ store, timers, log, holder: `${deployment.nodeName}.${incarnation}`, nodeName: deployment.nodeName, random })

  void createHasher().then(hasher => {
    const state = new GatewayState({ deployment, dialect, clock, log, metrics, ledger, hasher, random })
    const callers = new CallerServer(state)
    const followers = followFleet({
      state, store, timers, log, random,
      onConfiguration: table => { callers.configure(table.configuration.limits) }
    })
    const isReady = (): boolean => followers.isLoaded() && !state.isStopping
    listen(callers.server, deployment.callers)
    listen(createReadinessServer(dialect.readyPath, isReady), deployment.readiness)
    if (deployment.metrics !== undefined) listen(createMetricsServer(metrics.registry), deployment.metrics)
    log.event('gatewayStarted', { incarnation, failureDomain: deployment.failureDomain, memoryMb: deployment.memoryMb })

    process.on('SIGHUP', () => {
      try {
        options.reloadDeployment()
        log.event('gatewayReloaded', {})
      } catch (error) {
        log.event('gatewayReloadFailed', { error: error instanceof Error ? error.message : String(error) })
      }
    })
    process.once('SIGTERM', () => { shutDown(state, callers, () => { followers.stop() }) })
  })

  function shutDown (state: GatewayState, callers: CallerServer, stopFollowing: () => void): void {
    const startedMs = clock.nowMs()
    state.isStopping = true
    callers.beginShutdown()
    log.event('gatewayStopping', { openRequests: state.openRequests })
    const limitMs = deployment.graceMs - exitMarginMs
    const check = setInterval(() => {
      const elapsedMs = clock.nowMs() - startedMs
      if (elapsedMs < balancerNoticeMs) return
      if (callers.server.listening) callers.server.close()
      callers.server.closeIdleConnections()
      if (state.openRequests > 0 && elapsedMs < limitMs) return
      clearInterval(check)
      stopFollowing()
      void finish(state)
    }, stopCheckMs)
  }

  async function finish (state: GatewayState): Promise<void> {
    const timedOut = new Promise<void>(resolve => { setTimeout(resolve, returnLimitMs) })
    await Promise.race([ledger.close(), timedOut])
    log.event('gatewayStopped', { openRequests: state.openRequests })
    lines.flush()
    setTimeout(() => { process.exit(0) }, stopCheckMs)
  }
}
