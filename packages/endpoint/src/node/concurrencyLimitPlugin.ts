/** Takes the back end's concurrency limit from the fleet text. */
import { z } from 'zod'
import { definePlugin, type Plugin } from '@buckthorndrift/kernel'
import { documentsKey, type StoredObject } from '@buckthorndrift/coordination'
import { parseFleetText } from '@buckthorndrift/policy'
import type { EndpointSettings } from '../shared/endpointSettings.ts'
import type { Gate } from './requestDispatcher.ts'

const fleetDocument = 'config/fleet'
const storedTextSchema = z.object({ text: z.string() })

/** `endpointLimit` of the service, or `undefined` when the text is not valid or does not name the service. */
function limitIn (document: StoredObject, service: string): number | undefined {
  const stored = storedTextSchema.safeParse(document.value)
  if (!stored.success) return undefined
  return parseFleetText(stored.data.text).map(fleet => fleet.services[service]?.endpointLimit).unwrapOr(undefined)
}

/** The setting `backEndLimit` holds until a fleet text names the service. */
export function createLimitPlugin (settings: EndpointSettings, gate: Gate): Plugin {
  return definePlugin({
    name: 'limit',
    setup (context) {
      const documents = context.use(documentsKey)
      let version = 0
      function take (document: StoredObject): void {
        if (document.name !== fleetDocument || document.version <= version) return
        version = document.version
        const limit = limitIn(document, settings.service)
        if (limit !== undefined) gate.setLimit(limit)
      }
      const unsubscribe = documents.subscribe(fleetDocument, take)
      return {
        ready () {
          const document = documents.get(fleetDocument)
          if (document !== undefined) take(document)
        },
        close: unsubscribe
      }
    }
  })
}
