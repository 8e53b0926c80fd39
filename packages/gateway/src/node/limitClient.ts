/** HTTP client that asks another router for the limit of an endpoint. */
import { Agent } from 'undici'
import { limitReplySchema, type LimitMessage, type LimitReply } from '../shared/limitMessages.ts'

export interface LimitClient {
  /** Returns `undefined` if the router does not respond or does not know the endpoint. */
  exchange (address: string, message: LimitMessage): Promise<LimitReply | undefined>
  close (): Promise<void>
}

const responseTimeoutMs = 400
export const limitsPath = '/limits'

export function createLimitClient (): LimitClient {
  const agent = new Agent({ connect: { timeout: responseTimeoutMs }, keepAliveTimeout: 5000, pipelining: 1 })
  return {
    async exchange (address, message) {
      try {
        const response = await agent.request({ origin: `http://${address}`, path: limitsPath, method: 'POST', body: JSON.stringify(message), signal: AbortSignal.timeout(responseTimeoutMs) })
        return limitReplySchema.safeParse(await response.body.json()).data
      } catch {
        // The caller logs the failure and asks another router.
        return undefined
      }
    },
    close: () => agent.destroy()
  }
}
