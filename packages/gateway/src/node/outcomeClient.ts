/** HTTP client that reports outcomes of requests to the controller of a rollout. */
import { Agent } from 'undici'
import type { OutcomeReportMessage, ReportReply } from '../shared/outcomes.ts'

export interface OutcomeClient {
  /** Sends a report to the controller. */
  report (address: string, message: OutcomeReportMessage): Promise<ReportReply>
  close (): Promise<void>
}

const responseTimeoutMs = 400
export const outcomesPath = '/outcomes'
/** Statuses with which controllers reply. */
export const replyStatuses: Readonly<Record<ReportReply, number>> = { accepted: 200, suspicious: 202, rejected: 409 }
const replies = new Map(Object.entries(replyStatuses).map(([reply, status]) => [status, reply as ReportReply]))

export function createOutcomeClient (): OutcomeClient {
  const agent = new Agent({ connect: { timeout: responseTimeoutMs }, keepAliveTimeout: 5000, pipelining: 1 })
  return {
    async report (address, message) {
      try {
        const response = await agent.request({ origin: `http://${address}`, path: outcomesPath, method: 'POST', body: JSON.stringify(message), signal: AbortSignal.timeout(responseTimeoutMs) })
        await response.body.dump()
        return replies.get(response.statusCode) ?? 'rejected'
      } catch {
        // The caller counts how long the controller has not accepted reports.
        return 'rejected'
      }
    },
    close: () => agent.destroy()
  }
}
