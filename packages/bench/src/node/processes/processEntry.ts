/** Entry of the processes that a bench starts; the role is the first argument, in JSON. */
import type { Order, Role, Started } from './messages.ts'
import { startBulkService } from './bulkService.ts'
import { startBenchEndpoint } from './endpointProcess.ts'
import { startBenchRouter } from './routerProcess.ts'
import { startEngine, startPlainService } from '@buckthorndrift/standins'

/** More requests than a bench holds at once, so that no limit of a stand-in is measured. */
const hardLimit = 5000

async function start (role: Role): Promise<Omit<Started, 'kind'>> {
  switch (role.kind) {
    case 'engine': return startEngine({ hardLimit, batchLimit: hardLimit, ...role.settings })
    case 'plainService': return startPlainService({ hardLimit, delayMs: role.delayMs })
    case 'bulkService': return startBulkService()
    case 'endpoint': return startBenchEndpoint(role)
    case 'router': return startBenchRouter(role.endpoints)
  }
}

function measure (): void {
  const gc = (globalThis as { gc?: () => void }).gc
  gc?.()
  const { user, system } = process.cpuUsage()
  const { heapUsed, external } = process.memoryUsage()
  process.send?.({ kind: 'usage', cpuUs: user + system, memoryBytes: heapUsed + external })
}

process.on('disconnect', () => { process.exit(0) })
process.on('message', (order: Order) => {
  if (order.kind === 'stop') process.exit(0)
  measure()
})

const { url, member } = await start(JSON.parse(process.argv[2] ?? '') as Role)
process.send?.({ kind: 'started', url, ...(member === undefined ? {} : { member }) })
