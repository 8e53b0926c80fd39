/** HTTP client that reports outcomes of requests to the controller of a rollout. */
import { Agent } from 'undici'
import type { OutcomeReportMessage } from '../shared/outcomes.ts'

export interface OutcomeClient {
  /** Returns whether the controller accepted the report. */
  report (address: string, message: OutcomeReportMessage): Promise<boolean>
  close (): Promise<void>
}

const responseTimeoutMs = 400
export const outcomesPath = '/outcomes'

export function createOutcomeClient (): OutcomeClient {
  const agent = new Agent({ connect: { timeout: responseTimeoutMs }, keepAliveTimeout: 5000, pipelining: 1 })
  return {
    async report (address, message) {
      try {
        const response = await agent.request({ origin: `http://${address}`, path: outcomesPath, method: 'POST', body: JSON.stringify(message), signal: AbortSignal.timeout(responseTimeoutMs) })
        await response.body.dump()
        return response.statusCode === 200
      } catch {
        // The caller counts how long the controller has not accepted reports.
        return false
      }
    },
    close: () => agent.destroy()
  }
}
