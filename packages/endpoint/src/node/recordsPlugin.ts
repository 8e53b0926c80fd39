/** Hands unacknowledged billing records to another router, and crash evidence to routers. */
import { definePlugin, type Plugin } from '@buckthorndrift/kernel'
import type { EndpointSettings } from '../shared/endpointSettings.ts'
import { controlPartsKey, peersKey } from '../shared/services.ts'
import type { Gate } from './requestDispatcher.ts'

/** Records in one message. */
const batchSize = 500
/** Routers that are told of a crash; they share it as a document. */
const crashCopies = 2

export function createRecordsPlugin (settings: EndpointSettings, incarnation: string, gate: Gate): Plugin {
  return definePlugin({
    name: 'records',
    setup (context) {
      const { timers, log } = context
      const peers = context.use(peersKey)
      let crash = 0
      let isSending = false

      /** False when no router took the next batch. */
      async function handOverBatch (ageMs: number): Promise<boolean> {
        const records = gate.records.due(timers.monotonicMs(), ageMs, batchSize)
        if (records.length === 0) return true
        const isTaken = await peers.tell(client => client.records.handOver.mutate({ records }))
        if (isTaken) gate.records.noteHandedOver(records, timers.monotonicMs())
        return isTaken
      }

      async function handOver (): Promise<void> {
        if (isSending) return
        isSending = true
        await handOverBatch(settings.recordHandoverMs).finally(() => { isSending = false })
      }

      /** At the end of the process the router's copy is enough. */
      async function handOverAll (): Promise<void> {
        while (gate.records.size > 0) {
          const records = gate.records.due(timers.monotonicMs(), 0, batchSize)
          if (!await handOverBatch(0)) {
            log.event('handoverFailed', { what: 'records', count: gate.records.size })
            return
          }
          gate.records.acknowledge(records.map(record => record.requestId))
        }
      }

      gate.onCrash(contentHashes => {
        const report = { endpointId: settings.id, incarnation, crash: crash++, contentHashes: [...new Set(contentHashes)] }
        peers.tell(client => client.evidence.reportCrash.mutate(report), { wanted: crashCopies })
          .then(isTaken => { if (!isTaken) log.event('crashReportFailed', { crash: report.crash }) })
      })
      context.use(controlPartsKey).set('records', {
        acknowledge: async ({ requestIds }) => { gate.records.acknowledge(requestIds) }
      })
      const stop = timers.every(Math.max(10, settings.recordHandoverMs / 4), () => { handOver() })
      return { drain: handOverAll, close: stop }
    }
  })
}
