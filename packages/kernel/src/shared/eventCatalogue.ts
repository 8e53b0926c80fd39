/**
 * Catalogue of all log events. It is the only source of event numbers and of
 * docs/events.md. Numbers are never reused.
 */
import { adminEvents } from './events/adminEvents.ts'
import { budgetEvents } from './events/budgetEvents.ts'
import { endpointEvents } from './events/endpointEvents.ts'
import { gatewayEvents } from './events/gatewayEvents.ts'
import { kernelEvents } from './events/kernelEvents.ts'
import { platformEvents } from './events/platformEvents.ts'
import { recordsEvents } from './events/recordsEvents.ts'
import { rolloutsEvents } from './events/rolloutsEvents.ts'
import { routerEvents } from './events/routerEvents.ts'
import type { EventDefinition } from './events/eventDefinition.ts'

export type { EventDefinition, EventLevel } from './events/eventDefinition.ts'

const events = {
  ...kernelEvents,
  ...platformEvents,
  ...budgetEvents,
  ...routerEvents,
  ...endpointEvents,
  ...recordsEvents,
  ...rolloutsEvents,
  ...adminEvents,
  ...gatewayEvents
}

export type EventName = keyof typeof events

export const eventCatalogue: Readonly<Record<EventName, EventDefinition>> = events
