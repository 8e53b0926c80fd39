/** Runs a gateway as the main program of the process until SIGTERM. */
import { SystemTimers } from '@buckthorndrift/kernel'
import type { Deployment } from '../shared/deployment.ts'
import type { Dialect } from '../shared/dialect.ts'
import type { FleetStore } from '../shared/store.ts'
import { createBufferedLog } from './bufferedLog.ts'
import { readStartClocks } from './vmClocks.ts'
import { startGateway, type Gateway } from './startGateway.ts'

export interface GatewayOptions {
  readonly deployment: Deployment
  readonly dialect: Dialect
  readonly store: FleetStore
  /** Reads the settings again for SIGHUP; throws when they are invalid. */
  readonly reloadDeployment: () => Deployment
}

/** Time for writing the last log lines before the process exits. */
const logFlushMs = 50
const exitFailed = 1

export async function runGateway (options: GatewayOptions): Promise<void> {
  const { deployment, dialect, store, reloadDeployment } = options
  const { log, lines } = createBufferedLog(deployment.nodeName)
  let started: Promise<Gateway> | undefined

  async function stop (): Promise<void> {
    // A stop during the start waits for it, because some listeners may already accept requests.
    const gateway = await started?.catch(() => undefined)
    await gateway?.stop()
    lines.flush()
    setTimeout(() => { process.exit(0) }, logFlushMs)
  }

  process.once('SIGTERM', () => { void stop() })
  process.on('SIGHUP', () => {
    try {
      const changed = JSON.stringify(reloadDeployment()) !== JSON.stringify(deployment)
      // SIGHUP only validates and logs changed settings. They take effect after a restart of the process.
      log.event('gatewayReloaded', { changed })
    } catch (error) {
      log.event('gatewayReloadFailed', { error: error instanceof Error ? error.message : String(error) })
    }
  })
  try {
    started = startGateway({ deployment, dialect, store, timers: new SystemTimers(), log, random: Math.random, startClock: readStartClocks(), droppedLogLines: () => lines.droppedLines })
    await started
  } catch (error) {
    process.stderr.write(`The gateway cannot start: ${error instanceof Error ? error.message : String(error)}\n`)
    // The process exits explicitly, because timers and connections of the components that did start would keep it running.
    lines.flush()
    setTimeout(() => { process.exit(exitFailed) }, logFlushMs)
  }
}
