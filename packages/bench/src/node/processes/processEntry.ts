/** Entry of the processes that a bench starts; the first argument is the role as JSON. */
import type { Command, Role, StartedMessage } from './messages.ts'
import { startBulkService } from './bulkService.ts'
import { startBenchEndpoint } from './endpointProcess.ts'
import { startBenchRouter } from './routerProcess.ts'
import { startEngine, startPlainService } from '@buckthorndrift/standins'

/** Above the concurrency of every bench, so that no figure depends on a limit of a stand-in. */
const hardLimit = 5000

async function startRole (role: Role): Promise<Omit<StartedMessage, 'kind'>> {
  switch (role.kind) {
    case 'engine': return startEngine({ hardLimit, batchLimit: hardLimit, ...role.settings })
    case 'plainService': return startPlainService({ hardLimit, delayMs: role.delayMs })
    case 'bulkService': return startBulkService()
    case 'endpoint': return startBenchEndpoint(role)
    case 'router': return startBenchRouter(role.endpoints)
  }
}

function sendUsage (): void {
  const gc = (globalThis as { gc?: () => void }).gc
  gc?.()
  const { user, system } = process.cpuUsage()
  const { heapUsed, external } = process.memoryUsage()
  process.send?.({ kind: 'usage', cpuUs: user + system, memoryBytes: heapUsed + external })
}

process.on('disconnect', () => { process.exit(0) })
process.on('message', (command: Command) => {
  if (command.kind === 'stop') process.exit(0)
  sendUsage()
})

const { url, member } = await startRole(JSON.parse(process.argv[2] ?? '') as Role)
process.send?.({ kind: 'started', url, ...(member === undefined ? {} : { member }) })
