/** HTTP client that reports outcomes of requests to the controller of a rollout. */
import { Agent } from 'undici'
import { reportReplySchema, type OutcomeReportMessage, type ReportReply } from '../shared/outcomes.ts'
import { postToPeer } from './peerRequest.ts'

export interface OutcomeClient {
  /** Sends a report to the controller. A controller that does not respond counts as one that rejects it. The caller counts how long the controller has not accepted reports. */
  report (address: string, message: OutcomeReportMessage): Promise<ReportReply>
  close (): Promise<void>
}

const responseTimeoutMs = 400
export const outcomesPath = '/outcomes'

export function createOutcomeClient (): OutcomeClient {
  const agent = new Agent({ connect: { timeout: responseTimeoutMs }, keepAliveTimeout: 5000, pipelining: 1 })
  return {
    async report (address, message) {
      const response = await postToPeer(agent, address, outcomesPath, message, responseTimeoutMs)
      const reply = response.map(({ body }) => reportReplySchema.safeParse(body).data).unwrapOr(undefined)
      return reply ?? { kind: 'rejected' }
    },
    close: () => agent.destroy()
  }
}
