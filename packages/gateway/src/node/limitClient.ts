/** HTTP client that asks another router for the limit of an endpoint. */
import { Agent } from 'undici'
import { limitReplySchema, type LimitMessage, type LimitReply } from '../shared/limitMessages.ts'

export type LimitExchange =
  | { readonly kind: 'known', readonly reply: LimitReply }
  /** The router does not know the endpoint, or it runs a version that does not know these messages. */
  | { readonly kind: 'unknown' }
  | { readonly kind: 'unreachable', readonly detail: string }

export interface LimitClient {
  exchange (address: string, message: LimitMessage): Promise<LimitExchange>
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
        if (response.statusCode !== 200) {
          await response.body.dump()
          return { kind: 'unknown' }
        }
        return { kind: 'known', reply: limitReplySchema.parse(await response.body.json()) }
      } catch (error) {
        return { kind: 'unreachable', detail: error instanceof Error ? error.message : String(error) }
      }
    },
    close: () => agent.destroy()
  }
}
