/** HTTP client that reports outcomes of requests to the controller of a rollout. */
import { Agent } from 'undici'
import type { OutcomeReportMessage, ReportReply } from '../shared/outcomes.ts'
import { postToPeer } from './peerRequest.ts'

export interface OutcomeClient {
  /** Sends a report to the controller. The caller counts how long the controller has not accepted reports. */
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
      const response = await postToPeer(agent, address, outcomesPath, message, responseTimeoutMs)
      return response.map(({ status }) => replies.get(status)).unwrapOr(undefined) ?? 'rejected'
    },
    close: () => agent.destroy()
  }
}
