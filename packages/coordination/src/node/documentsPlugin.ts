/** Plug-in for documents, see docs/design.md section 9. */
import { Agent } from 'undici'
import { definePlugin, type Plugin, type PluginContext } from '@buckthorndrift/kernel'
import { createRouterClient, type DocumentHandlers, type ExchangeInput, type ExchangeOutput, type Member, type RouterClient } from '@buckthorndrift/protocol'
import { defaultDocumentsTuning, documentPrefixes, DocumentsService, type DocumentsTuning } from '../shared/documentsService.ts'
import { documentsKey, objectStoreKey } from '../shared/objectStore.ts'
import { Suspicions, suspicionsKey } from '../shared/suspicions.ts'

export interface DocumentsPluginOptions {
  readonly self: Member
  readonly fleetSecret: string
  /** Sets the handler of the control listener; endpoint processes answer no exchanges and leave it out. */
  readonly registerExchange?: (context: PluginContext, handlers: DocumentHandlers) => void
  /** Time limit of one message to a router, 1500 ms. */
  readonly timeoutMs?: number
  /** How long a router that did not answer is left out, 10 000 ms. */
  readonly suspicionMs?: number
  /** Numbers from 0 below 1, `Math.random` when absent. */
  readonly random?: () => number
  /** Prefixes of the documents held; the same in all processes of a fleet. */
  readonly prefixes?: readonly string[]
  readonly tuning?: Partial<DocumentsTuning>
  /** Replaces messages over tRPC, for tests. */
  readonly call?: (peer: Member, input: ExchangeInput) => Promise<ExchangeOutput>
}

interface RouterCalls {
  readonly call: (peer: Member, input: ExchangeInput) => Promise<ExchangeOutput>
  close (): Promise<void>
}

function createRouterCalls (fleetSecret: string, timeoutMs: number): RouterCalls {
  const dispatcher = new Agent({ connect: { timeout: timeoutMs } })
  const clients = new Map<string, RouterClient>()

  function clientOf (url: string): RouterClient {
    const known = clients.get(url)
    if (known !== undefined) return known
    const client = createRouterClient({ url, fleetSecret, timeoutMs, dispatcher })
    clients.set(url, client)
    return client
  }

  return {
    async call (peer, input) {
      const answer = await clientOf(peer.controlUrl).documents.exchange.mutate({ digest: input.digest, documents: [...input.documents] })
      return { digest: answer.digest, documents: answer.documents.map(({ name, version, value }) => ({ name, version, value })) }
    },
    close: () => dispatcher.destroy()
  }
}

/**
 * Provides `documentsKey`; needs `objectStoreKey`. Its `ready` resolves once
 * the documents are known from a router or the platform.
 */
export function createDocumentsPlugin (options: DocumentsPluginOptions): Plugin {
  return definePlugin({
    name: 'documents',
    setup (context) {
      const calls = createRouterCalls(options.fleetSecret, options.timeoutMs ?? 1500)
      const suspicions = new Suspicions(context.timers, options.suspicionMs ?? 10_000)
      const documents = new DocumentsService({
        self: options.self,
        store: context.use(objectStoreKey),
        timers: context.timers,
        log: context.log,
        metrics: context.metrics,
        suspicions,
        random: options.random ?? Math.random,
        call: options.call ?? calls.call,
        prefixes: options.prefixes ?? documentPrefixes,
        tuning: { ...defaultDocumentsTuning, ...options.tuning }
      })
      context.provide(documentsKey, documents)
      context.provide(suspicionsKey, suspicions)
      options.registerExchange?.(context, { exchange: async input => documents.answer(input) })
      return {
        ready: () => documents.start(),
        async close () {
          documents.stop()
          await calls.close()
        }
      }
    }
  })
}
