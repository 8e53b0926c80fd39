/** HTTP client that asks another router for the limit of an endpoint. */
import { Agent } from 'undici'
import { limitReplySchema, type LimitMessage, type LimitReply } from '../shared/limitMessages.ts'
import { postToPeer } from './peerRequest.ts'

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
      const response = await postToPeer(agent, address, limitsPath, message, responseTimeoutMs)
      if (response.isErr()) return { kind: 'unreachable', detail: response.error.kind === 'gone' ? 'the connection was refused' : response.error.detail }
      const reply = limitReplySchema.safeParse(response.value.body).data
      return response.value.status === 200 && reply !== undefined ? { kind: 'known', reply } : { kind: 'unknown' }
    },
    close: () => agent.destroy()
  }
}
