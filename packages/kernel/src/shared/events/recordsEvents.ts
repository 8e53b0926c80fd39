/** Events of billing records and refusal accounts, numbers 1500 to 1599. */
import type { EventDefinitions } from './eventDefinition.ts'

export const recordsEvents = {
  recordsStored: { number: 1500, level: 'debug', message: 'stored a batch of records', action: 'none' },
  recordsWaiting: { number: 1501, level: 'warn', message: 'the platform did not store a batch of records; the records are kept for a retry', action: 'Restore the platform. When the waiting records reach their memory limit, the router refuses new requests.' },
  recordsFull: { number: 1502, level: 'error', message: 'waiting records reached their memory limit; new requests are refused', action: 'Restore the platform, or replace the router after it has handed over its records.' },
  accountsNotCopied: { number: 1503, level: 'warn', message: 'no other router accepted a copy of the refusal accounts', action: 'Check the other routers. Until one accepts copies, the loss of this router also loses its latest refusal accounts.' },
  copiesStored: { number: 1504, level: 'info', message: 'stored refusal accounts of another router that did not store them in time', action: 'none' },
  acknowledgeFailed: { number: 1505, level: 'debug', message: 'an endpoint process could not be told that its billing records are stored', action: 'none; the endpoint process hands the records over again and readers drop the duplicates.' }
} as const satisfies EventDefinitions
