/** Hands unacknowledged billing records over to other routers, and reports crashes of the back end to routers. */
import { definePlugin, type Plugin } from '@buckthorndrift/kernel'
import type { EndpointSettings } from '../shared/endpointSettings.ts'
import { controlHandlersKey, peerClientsKey } from '../shared/services.ts'
import type { RequestDispatcher } from './requestDispatcher.ts'

/** Most records in one message. */
const maxRecordsPerBatch = 500
/** Number of routers that receive a crash report; they distribute it to the others as a document. */
const crashReportRouterCount = 2

export function createRecordsPlugin (settings: EndpointSettings, incarnation: string, dispatcher: RequestDispatcher): Plugin {
  return definePlugin({
    name: 'records',
    setup (context) {
      const { timers, log } = context
      const peerClients = context.use(peerClientsKey)
      let nextCrashNumber = 0
      let isHandingOver = false

      /** Hands over one batch of records that are due. Resolves with false if no router accepted it. */
      async function handOverBatch (ageMs: number): Promise<boolean> {
        const records = dispatcher.records.listDue(timers.monotonicMs(), ageMs, maxRecordsPerBatch)
        if (records.length === 0) return true
        const isDelivered = await peerClients.sendToRouters(client => client.records.handOver.mutate({ records }))
        if (isDelivered) dispatcher.records.markHandedOver(records, timers.monotonicMs())
        return isDelivered
      }

      async function handOverDue (): Promise<void> {
        if (isHandingOver) return
        isHandingOver = true
        await handOverBatch(settings.recordHandoverMs).finally(() => { isHandingOver = false })
      }

      /** Hands over all records at shutdown. Once a router has received a record, its copy there replaces the acknowledgement, and the record is removed here. */
      async function handOverAll (): Promise<void> {
        while (dispatcher.records.size > 0) {
          const records = dispatcher.records.listDue(timers.monotonicMs(), 0, maxRecordsPerBatch)
          if (!await handOverBatch(0)) {
            log.event('handoverFailed', { what: 'records', count: dispatcher.records.size })
            return
          }
          dispatcher.records.acknowledge(records.map(record => record.requestId))
        }
      }

      dispatcher.setCrashListener(contentHashes => {
        const report = { endpointId: settings.id, incarnation, crash: nextCrashNumber++, contentHashes: [...new Set(contentHashes)] }
        peerClients.sendToRouters(client => client.evidence.reportCrash.mutate(report), { deliveries: crashReportRouterCount })
          .then(isDelivered => { if (!isDelivered) log.event('crashReportFailed', { crash: report.crash }) })
      })
      context.use(controlHandlersKey).set('records', {
        acknowledge: async ({ requestIds }) => { dispatcher.records.acknowledge(requestIds) }
      })
      const stopTimer = timers.every(Math.max(10, settings.recordHandoverMs / 4), () => { handOverDue() })
      return { drain: handOverAll, close: stopTimer }
    }
  })
}
