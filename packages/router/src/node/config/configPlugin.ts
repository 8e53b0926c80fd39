/** Keeps the current configuration of the router, from the documents `config/fleet` and `directory/<shard>`. */
import { z } from 'zod'
import { definePlugin, type Plugin, type PluginContext } from '@buckthorndrift/kernel'
import { documentsKey, type StoredObject } from '@buckthorndrift/coordination'
import { directoryDocument, directoryShardCount, parseFleetText, formatProblem, type FleetConfig } from '@buckthorndrift/policy'
import { configServiceKey } from '../../shared/services.ts'
import { ApiKeyDirectory } from './apiKeyDirectory.ts'

const fleetDocument = 'config/fleet'
const directoryPrefix = 'directory/'
const directoryShardNames: readonly string[] = Array.from({ length: directoryShardCount }, (_, shard) => directoryDocument(shard))
const fleetDocumentSchema = z.object({ text: z.string() })

interface Configuration {
  fleet: FleetConfig | undefined
  readonly directory: ApiKeyDirectory
  /** Newest version seen of each document, whether it was accepted or not. */
  readonly versions: Map<string, number>
}

/** Provides `ConfigService`. A malformed document never replaces the current configuration. */
export function createConfigPlugin (): Plugin {
  return definePlugin({
    name: 'config',
    setup (context) {
      const documents = context.use(documentsKey)
      const configuration: Configuration = { fleet: undefined, directory: new ApiKeyDirectory(), versions: new Map() }
      const apply = (document: StoredObject): void => { applyDocument(configuration, document, context) }
      const subscriptions = [documents.subscribe(fleetDocument, apply), documents.subscribe(directoryPrefix, apply)]
      for (const name of [fleetDocument, ...directoryShardNames]) {
        const document = documents.get(name)
        if (document !== undefined) apply(document)
      }
      context.provide(configServiceKey, {
        fleet: () => configuration.fleet,
        findKey: apiKey => configuration.directory.find(apiKey)
      })
      return {
        close () {
          for (const unsubscribe of subscriptions) unsubscribe()
        }
      }
    }
  })
}

function applyDocument (configuration: Configuration, document: StoredObject, context: PluginContext): void {
  const { name, version } = document
  if (version <= (configuration.versions.get(name) ?? 0)) return
  configuration.versions.set(name, version)
  if (name === fleetDocument) return applyFleetDocument(configuration, document, context)
  const shard = directoryShardNames.indexOf(name)
  if (shard >= 0 && configuration.directory.replaceShard(shard, document.value)) return
  context.log.event('directoryShardRejected', { name, version })
}

function applyFleetDocument (configuration: Configuration, { version, value }: StoredObject, context: PluginContext): void {
  const storedText = fleetDocumentSchema.safeParse(value)
  if (!storedText.success) return context.log.event('fleetTextRejected', { version, reason: 'the document holds no text' })
  const parsedFleet = parseFleetText(storedText.data.text)
  if (parsedFleet.isErr()) return context.log.event('fleetTextRejected', { version, reason: parsedFleet.error.map(formatProblem).join('; ') })
  configuration.fleet = parsedFleet.value
  context.log.event('fleetTextInForce', { version })
  context.metrics.gauge('config.fleetVersion', version)
}
