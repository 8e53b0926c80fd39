/** Plugin that replicates documents to this process; see docs/design.md section 9. */
import { Agent } from 'undici'
import { definePlugin, type Plugin, type PluginContext } from '@buckthorndrift/kernel'
import { createRouterClient, type DocumentHandlers, type ExchangeInput, type ExchangeOutput, type Member, type RouterClient } from '@buckthorndrift/protocol'
import { defaultDocumentsTuning, documentPrefixes, DocumentsService, type DocumentsTuning } from '../shared/documentsService.ts'
import { documentsKey, objectStoreKey } from '../shared/objectStore.ts'
import { Suspicions, suspicionsKey } from '../shared/suspicions.ts'

export interface DocumentsPluginOptions {
  readonly self: Member
  readonly fleetSecret: string
  /** Registers the handler for exchange messages with the control listener. Endpoint processes answer no exchanges and omit it. */
  readonly registerExchange?: (context: PluginContext, handlers: DocumentHandlers) => void
  /** Time limit of one message to a router; 1500 ms by default. */
  readonly timeoutMs?: number
  /** How long a router that did not answer is suspected of having failed, and therefore not contacted; 10 000 ms by default. */
  readonly suspicionMs?: number
  /** Returns a random number in [0, 1); `Math.random` by default. */
  readonly random?: () => number
  /** Name prefixes of the documents held; must be the same in all processes of a fleet. */
  readonly prefixes?: readonly string[]
  readonly tuning?: Partial<DocumentsTuning>
  /** Replaces the tRPC call to a router; for tests. */
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
 * Creates a plugin that provides `documentsKey` and `suspicionsKey`; requires
 * `objectStoreKey`. Its `ready` resolves once the documents are loaded from a
 * router or the platform.
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
