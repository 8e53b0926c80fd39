/** Events of billing records and refusal accounts, numbers 1500 to 1599. */
import type { EventDefinitions } from './eventDefinition.ts'

export const recordsEvents = {
  recordsStored: { number: 1500, level: 'debug', message: 'stored a batch of records', action: 'none' },
  recordsWaiting: { number: 1501, level: 'warn', message: 'records wait because the platform did not take them', action: 'Restore the platform. At the bound the router refuses new requests.' },
  recordsFull: { number: 1502, level: 'error', message: 'waiting records reached their memory bound; new requests are refused', action: 'Restore the platform, or replace the router after its records were handed over.' },
  accountsNotCopied: { number: 1503, level: 'warn', message: 'no peer router took a copy of the refusal accounts', action: 'Check the other routers; until one answers, a lost router loses its last refusal accounts.' },
  copiesStored: { number: 1504, level: 'info', message: 'stored refusal accounts of a peer that did not store them itself', action: 'none' },
  acknowledgeFailed: { number: 1505, level: 'debug', message: 'endpoint process could not be told that its records are stored', action: 'none; it hands them over and readers drop the duplicates.' }
} as const satisfies EventDefinitions
