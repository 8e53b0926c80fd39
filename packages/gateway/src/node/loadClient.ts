/** HTTP client that reports engine loads to the aggregator. */
import { Agent } from 'undici'
import { loadReplySchema, type LoadMessage, type LoadReply } from '../shared/loadMessages.ts'
import { postToPeer } from './peerRequest.ts'

export type LoadExchange =
  | { readonly kind: 'known', readonly reply: LoadReply }
  /** The router did not respond, or its response cannot be read, for example because its version does not know these messages. */
  | { readonly kind: 'failed', readonly detail: string }

export interface LoadClient {
  exchange (address: string, message: LoadMessage): Promise<LoadExchange>
  close (): Promise<void>
}

const responseTimeoutMs = 300
export const loadsPath = '/loads'

export function createLoadClient (): LoadClient {
  const agent = new Agent({ connect: { timeout: responseTimeoutMs }, keepAliveTimeout: 5000, pipelining: 1 })
  return {
    async exchange (address, message) {
      const response = await postToPeer(agent, address, loadsPath, message, responseTimeoutMs)
      if (response.isErr()) return { kind: 'failed', detail: response.error.kind === 'gone' ? 'the connection was refused' : response.error.detail }
      const reply = loadReplySchema.safeParse(response.value.body).data
      return response.value.status === 200 && reply !== undefined ? { kind: 'known', reply } : { kind: 'failed', detail: `status ${response.value.status}, or a body that cannot be read` }
    },
    close: () => agent.destroy()
  }
}
