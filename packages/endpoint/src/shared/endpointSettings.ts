/** Settings of the endpoint process. */
import { defineSettings, type SettingsOf } from '@buckthorndrift/kernel'

export const endpointSettings = defineSettings({
  id: { kind: 'text', summary: 'id of this process, unique in the fleet' },
  vm: { kind: 'text', summary: 'name of the VM on the platform list' },
  failureDomain: { kind: 'text', summary: 'failure domain of the VM' },
  service: { kind: 'text', summary: 'service whose back end this process guards' },
  version: { kind: 'text', summary: 'version of that back end' },
  backEndUrl: { kind: 'text', summary: 'base URL of the back end' },
  backEndKind: { kind: 'choice', summary: 'model engine or plain service', choices: ['model', 'plain'], default: 'plain' },
  platformUrl: { kind: 'text', summary: 'base URL of the platform object API' },
  fleetSecret: { kind: 'text', summary: 'secret shared by the processes of the fleet', isSecret: true },
  listenHost: { kind: 'text', summary: 'address to listen on', default: '127.0.0.1' },
  listenPort: { kind: 'number', summary: 'port to listen on; 0 takes a free one', unit: 'port', min: 0, max: 65_535, default: 0 },
  advertiseUrl: { kind: 'text', summary: 'base URL under which routers reach this process; `auto` takes the listening address', default: 'auto' },
  backEndLimit: { kind: 'number', summary: 'most requests that the back end may hold', unit: 'requests', min: 1, max: 100_000, default: 8 },
  queueLimit: { kind: 'number', summary: 'most requests that wait for the back end', unit: 'requests', min: 0, max: 100_000, default: 64 },
  requestLimitBytes: { kind: 'number', summary: 'largest request body', unit: 'bytes', min: 1024, max: 1e9, default: 1_048_576 },
  waitingLimitBytes: { kind: 'number', summary: 'most bytes of request bodies that wait for the back end', unit: 'bytes', min: 1024, max: 1e9, default: 16_777_216 },
  heartbeatMs: { kind: 'number', summary: 'interval of heartbeats while a call is queued or silent', unit: 'ms', min: 10, max: 600_000, default: 500 },
  reattachMs: { kind: 'number', summary: 'time in which a router may come back for a request without a key before the engine is told to cancel it', unit: 'ms', min: 10, max: 600_000, default: 5000 },
  answerRetentionMs: { kind: 'number', summary: 'time for which a finished answer is kept', unit: 'ms', min: 0, max: 86_400_000, default: 600_000 },
  answersLimitBytes: { kind: 'number', summary: 'most bytes of kept answers in this process', unit: 'bytes', min: 65_536, max: 1e10, default: 33_554_432 },
  streamLimitBytes: { kind: 'number', summary: 'most bytes of one stream that its reader has not taken', unit: 'bytes', min: 1024, max: 1e9, default: 262_144 },
  unreadLimitBytes: { kind: 'number', summary: 'most bytes of all streams that their readers have not taken', unit: 'bytes', min: 65_536, max: 1e10, default: 16_777_216 },
  backEndSilenceMs: { kind: 'number', summary: 'silence after which a request at the back end counts as failed', unit: 'ms', min: 100, max: 86_400_000, default: 300_000 },
  probeIntervalMs: { kind: 'number', summary: 'interval of probes to a back end that fell over', unit: 'ms', min: 10, max: 600_000, default: 500 },
  recordHandoverMs: { kind: 'number', summary: 'time after which an unacknowledged billing record goes to another router', unit: 'ms', min: 10, max: 86_400_000, default: 30_000 },
  recordsLimit: { kind: 'number', summary: 'most billing records kept; at the limit new calls are refused', unit: 'records', min: 1, max: 1e6, default: 20_000 },
  entryQueryMs: { kind: 'number', summary: 'age at which the holder is asked about a reservation', unit: 'ms', min: 10, max: 86_400_000, default: 60_000 },
  claimShards: { kind: 'number', summary: 'shards of idempotency keys per service when the layout is created', unit: 'shards', min: 1, max: 1024, default: 32 },
  claimRetentionMs: { kind: 'number', summary: 'time for which an idempotency key is remembered', unit: 'ms', min: 0, max: 86_400_000, default: 3_600_000 },
  claimsLimit: { kind: 'number', summary: 'most idempotency keys kept per shard', unit: 'claims', min: 1, max: 20_000, default: 5000 },
  controlTimeoutMs: { kind: 'number', summary: 'time limit of a control call to another process', unit: 'ms', min: 10, max: 600_000, default: 2000 },
  drainLimitMs: { kind: 'number', summary: 'longest graceful shutdown', unit: 'ms', min: 0, max: 86_400_000, default: 600_000 },
  logLevel: { kind: 'choice', summary: 'lowest level of log events that are written', choices: ['debug', 'info', 'warn', 'error'], default: 'info' },
  spans: { kind: 'choice', summary: 'where finished spans go: nowhere, or as JSON lines to standard error', choices: ['none', 'lines'], default: 'none' },
  statsdHost: { kind: 'text', summary: 'address of the StatsD agent; no metrics are sent without it', default: '' },
  statsdPort: { kind: 'number', summary: 'port of the StatsD agent', unit: 'port', min: 1, max: 65_535, default: 8125 }
})

export type EndpointSettings = SettingsOf<typeof endpointSettings>
