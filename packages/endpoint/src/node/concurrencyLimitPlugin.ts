/** Applies the back end's concurrency limit from the fleet configuration. */
import { z } from 'zod'
import { definePlugin, type Plugin } from '@buckthorndrift/kernel'
import { documentsKey, type StoredObject } from '@buckthorndrift/coordination'
import { parseFleetText } from '@buckthorndrift/policy'
import type { EndpointSettings } from '../shared/endpointSettings.ts'
import type { RequestDispatcher } from './requestDispatcher.ts'

const fleetDocumentName = 'config/fleet'
const fleetDocumentSchema = z.object({ text: z.string() })

/** Returns `endpointLimit` of the service, or `undefined` if the fleet configuration is invalid or does not contain the service. */
function parseConcurrencyLimit (document: StoredObject, service: string): number | undefined {
  const stored = fleetDocumentSchema.safeParse(document.value)
  if (!stored.success) return undefined
  return parseFleetText(stored.data.text).map(fleet => fleet.services[service]?.endpointLimit).unwrapOr(undefined)
}

/** Creates the plugin. The setting `backEndLimit` applies until a valid fleet configuration contains the service. */
export function createConcurrencyLimitPlugin (settings: EndpointSettings, dispatcher: RequestDispatcher): Plugin {
  return definePlugin({
    name: 'limit',
    setup (context) {
      const documents = context.use(documentsKey)
      let version = 0
      function applyDocument (document: StoredObject): void {
        if (document.name !== fleetDocumentName || document.version <= version) return
        version = document.version
        const limit = parseConcurrencyLimit(document, settings.service)
        if (limit !== undefined) dispatcher.setConcurrencyLimit(limit)
      }
      const unsubscribe = documents.subscribe(fleetDocumentName, applyDocument)
      return {
        ready () {
          const document = documents.get(fleetDocumentName)
          if (document !== undefined) applyDocument(document)
        },
        close: unsubscribe
      }
    }
  })
}
