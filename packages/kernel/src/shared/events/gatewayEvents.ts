/** Events of the gateway process, numbers 1800 to 1899. */
import type { EventDefinitions } from './eventDefinition.ts'

export const gatewayEvents = {
  gatewayStarted: { number: 1800, level: 'info', message: 'gateway started', action: 'none' },
  gatewayStopping: { number: 1801, level: 'info', message: 'graceful shutdown started', action: 'none' },
  gatewayStopped: { number: 1802, level: 'info', message: 'gateway stopped', action: 'If openRequests is not 0, the grace period was too short for those requests.' },
  gatewayReloaded: { number: 1803, level: 'info', message: 'settings were read again; changes take effect when the process is restarted', action: 'none' },
  gatewayReloadFailed: { number: 1804, level: 'error', message: 'changed settings are invalid; the previous settings stay in use', action: 'Correct the field that the error names.' },
  gatewayReady: { number: 1805, level: 'info', message: 'readiness of the gateway changed', action: 'none' },
  configurationApplied: { number: 1810, level: 'info', message: 'a new configuration is active', action: 'none' },
  configurationIgnored: { number: 1811, level: 'warn', message: 'a configuration was not applied', action: 'Check the object. It is malformed or older than the active configuration.' },
  endpointChanged: { number: 1812, level: 'info', message: 'an endpoint was added, started to drain, announced its shutdown in a response, became ready again, was replaced or was removed', action: 'none' },
  endpointEntryIgnored: { number: 1813, level: 'warn', message: 'an endpoint entry does not describe a valid endpoint and was ignored', action: 'Find out which other program writes endpoint entries.' },
  endpointAvoided: { number: 1814, level: 'warn', message: 'requests at an endpoint fail; new requests avoid it', action: 'Check the endpoint. The gateway tries it again by itself.' },
  endpointPaused: { number: 1817, level: 'info', message: 'an endpoint rejected a request and asked for a pause; it gets no requests until the pause ends', action: 'If it happens often, the endpoints of the service lack capacity.' },
  storeContactLost: { number: 1815, level: 'warn', message: 'the store does not respond', action: 'Check the store and the network. The last known state stays in use.' },
  storeContactRegained: { number: 1816, level: 'info', message: 'the store responds again', action: 'none' },
  storeRestored: { number: 1818, level: 'warn', message: 'the store was restored from an older copy; this router stores its own state again', action: 'Write changes of the lost time again, if operators made any.' },
  ledgerUnreadable: { number: 1820, level: 'error', message: 'a budget ledger object is malformed', action: 'Restore the object. Until then, requests of its organisation are refused.' },
  budgetSliceChanged: { number: 1821, level: 'info', message: 'the number of budget tokens that this router may spend changed', action: 'none' },
  budgetRefused: { number: 1822, level: 'info', message: 'tokens for a request could not be reserved', action: 'If leftTokens is below tokens, the budget is used up. Otherwise other routers hold the remaining tokens, or the store did not respond.' },
  lenderFailed: { number: 1823, level: 'warn', message: 'a loan of budget tokens from another router failed', action: 'Check the router given in the field lender and the network between the two routers. Meanwhile this router requests tokens from the store.' },
  holderReportFailed: { number: 1824, level: 'warn', message: 'the report of the committed budget tokens was not stored', action: 'Check the store. Until the next report, this router spends its grants at the rate of the last one.' },
  predecessorReportRead: { number: 1825, level: 'info', message: 'the last report of the previous process of this VM was read', action: 'none' },
  requestRetried: { number: 1831, level: 'info', message: 'an attempt failed; the request is retried at another endpoint', action: 'none' },
  requestRefused: { number: 1832, level: 'info', message: 'request was refused', action: 'The field reason names the cause.' },
  requestFinished: { number: 1833, level: 'info', message: 'request was answered', action: 'none' },
  requestFailed: { number: 1834, level: 'warn', message: 'request failed after it was sent to an endpoint', action: 'The field detail says what the endpoint or its connection did.' },
  requestAbandoned: { number: 1835, level: 'info', message: 'caller disconnected before the end of the response', action: 'none' },
  contentCrashedEndpoint: { number: 1836, level: 'warn', message: 'an endpoint crashed while it ran a request', action: 'Check the log of the endpoint. After two such crashes, requests with the same content are refused.' },
  eventLoopDelayed: { number: 1841, level: 'warn', message: 'the event loop was delayed', action: 'Check the load and the CPU share of the VM. During a delay, incoming requests wait up to longestMs before the process sees them.' },
  logLinesDropped: { number: 1840, level: 'warn', message: 'log lines were dropped because standard output was not read fast enough', action: 'Read standard output faster.' }
} as const satisfies EventDefinitions
