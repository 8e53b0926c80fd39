/** Runs a gateway as the process's program until it is asked to stop. */
import { SystemTimers } from '@buckthorndrift/kernel'
import type { Deployment } from '../shared/deployment.ts'
import type { Dialect } from '../shared/dialect.ts'
import type { FleetStore } from '../shared/store.ts'
import { createDecisionLog } from './decisionLog.ts'
import { startGateway, type Gateway } from './startGateway.ts'

export interface GatewayOptions {
  readonly deployment: Deployment
  readonly dialect: Dialect
  readonly store: FleetStore
  /** Reads the settings again; throws when they are invalid. */
  readonly reloadDeployment: () => Deployment
}

/** Time for the last log lines to get out. */
const flushMs = 50
const exitFailed = 1

export async function runGateway (options: GatewayOptions): Promise<void> {
  const { deployment, dialect, store, reloadDeployment } = options
  const { log, lines } = createDecisionLog(deployment.nodeName)
  let gateway: Gateway | undefined
  let isStopRequested = false

  async function stop (): Promise<void> {
    isStopRequested = true
    await gateway?.stop()
    lines.flush()
    setTimeout(() => { process.exit(0) }, flushMs)
  }

  process.once('SIGTERM', () => { void stop() })
  process.on('SIGHUP', () => {
    try {
      const changed = JSON.stringify(reloadDeployment()) !== JSON.stringify(deployment)
      // Addresses and limits are taken at the start; a changed file takes effect when the process is restarted.
      log.event('gatewayReloaded', { changed })
    } catch (error) {
      log.event('gatewayReloadFailed', { error: error instanceof Error ? error.message : String(error) })
    }
  })
  try {
    gateway = await startGateway({ deployment, dialect, store, timers: new SystemTimers(), log, random: Math.random, droppedLogLines: () => lines.droppedLines })
    if (isStopRequested) await gateway.stop()
  } catch (error) {
    process.stderr.write(`The gateway cannot start: ${error instanceof Error ? error.message : String(error)}\n`)
    // Timers and connections of the parts that did start would keep the process running.
    lines.flush()
    setTimeout(() => { process.exit(exitFailed) }, flushMs)
  }
}
