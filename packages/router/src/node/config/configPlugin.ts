/** Keeps the configuration in force, from the documents `config/fleet` and `directory/<shard>`. */
import { z } from 'zod'
import { definePlugin, type Plugin, type PluginContext } from '@buckthorndrift/kernel'
import { documentsKey, type StoredObject } from '@buckthorndrift/coordination'
import { directoryDocument, directoryShardCount, parseFleetText, formatProblem, type FleetConfig } from '@buckthorndrift/policy'
import { configServiceKey } from '../../shared/services.ts'
import { Directory } from './directory.ts'

const fleetDocument = 'config/fleet'
const directoryPrefix = 'directory/'
const shardNames: readonly string[] = Array.from({ length: directoryShardCount }, (_, shard) => directoryDocument(shard))
const storedTextSchema = z.object({ text: z.string() })

interface Configuration {
  fleet: FleetConfig | undefined
  readonly directory: Directory
  /** Newest version seen of each document, accepted or not. */
  readonly versions: Map<string, number>
}

/** Provides `ConfigService`. A document that cannot be read never replaces what is in force. */
export function createConfigPlugin (): Plugin {
  return definePlugin({
    name: 'config',
    setup (context) {
      const documents = context.use(documentsKey)
      const configuration: Configuration = { fleet: undefined, directory: new Directory(), versions: new Map() }
      const take = (document: StoredObject): void => { takeDocument(configuration, document, context) }
      const subscriptions = [documents.subscribe(fleetDocument, take), documents.subscribe(directoryPrefix, take)]
      for (const name of [fleetDocument, ...shardNames]) {
        const document = documents.get(name)
        if (document !== undefined) take(document)
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

function takeDocument (configuration: Configuration, document: StoredObject, context: PluginContext): void {
  const { name, version } = document
  if (version <= (configuration.versions.get(name) ?? 0)) return
  configuration.versions.set(name, version)
  if (name === fleetDocument) return takeFleet(configuration, document, context)
  const shard = shardNames.indexOf(name)
  if (shard >= 0 && configuration.directory.replace(shard, document.value)) return
  context.log.event('directoryShardRejected', { name, version })
}

function takeFleet (configuration: Configuration, { version, value }: StoredObject, context: PluginContext): void {
  const stored = storedTextSchema.safeParse(value)
  if (!stored.success) return context.log.event('fleetTextRejected', { version, reason: 'the document holds no text' })
  const parsed = parseFleetText(stored.data.text)
  if (parsed.isErr()) return context.log.event('fleetTextRejected', { version, reason: parsed.error.map(formatProblem).join('; ') })
  configuration.fleet = parsed.value
  context.log.event('fleetTextInForce', { version })
  context.metrics.gauge('config.fleetVersion', version)
}
