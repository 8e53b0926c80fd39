/** Settings of the router process. */
import { Err, Ok, type Result } from 'ts-results-es'
import { defineSettings, environmentName, flagName, resolveSettings, type SettingsOf, type SettingsSources } from '@buckthorndrift/kernel'
import { parseAdminKeys, type AdminKey, type TlsFiles } from '@buckthorndrift/admin'

export const routerSettings = defineSettings({
  id: { kind: 'text', summary: 'id of this process, unique in the fleet' },
  vm: { kind: 'text', summary: 'name of the VM on the platform list' },
  failureDomain: { kind: 'text', summary: 'failure domain of the VM' },
  region: { kind: 'text', summary: 'region of the failure domain' },
  platformUrl: { kind: 'text', summary: 'base URL of the platform object API' },
  fleetSecret: { kind: 'text', summary: 'secret shared by the processes of the fleet', isSecret: true },
  adminKeyHashes: { kind: 'text', summary: 'administration keys as `<name>=<SHA-256 of the key in hex>`, separated by commas', isSecret: true },

  callerHost: { kind: 'text', summary: 'address of the caller listener', default: '127.0.0.1' },
  callerPort: { kind: 'number', summary: 'port of the caller listener; 0 takes a free one', unit: 'port', min: 0, max: 65_535, default: 8080 },
  callerCertificatePath: { kind: 'text', summary: 'PEM file with the certificate chain of the caller listener; plain HTTP without it', default: '' },
  callerKeyPath: { kind: 'text', summary: 'PEM file with the private key of the caller listener', default: '' },
  adminHost: { kind: 'text', summary: 'address of the administration listener', default: '127.0.0.1' },
  adminPort: { kind: 'number', summary: 'port of the administration listener; 0 takes a free one', unit: 'port', min: 0, max: 65_535, default: 8081 },
  adminCertificatePath: { kind: 'text', summary: 'PEM file with the certificate chain of the administration listener; plain HTTP without it', default: '' },
  adminKeyPath: { kind: 'text', summary: 'PEM file with the private key of the administration listener', default: '' },
  controlHost: { kind: 'text', summary: 'address of the control listener', default: '127.0.0.1' },
  controlPort: { kind: 'number', summary: 'port of the control listener; 0 takes a free one', unit: 'port', min: 0, max: 65_535, default: 8082 },
  controlUrl: { kind: 'text', summary: 'base URL under which processes of the fleet reach this router; `auto` takes the listening address', default: 'auto' },
  controlCertificatePath: { kind: 'text', summary: 'PEM file with the certificate chain of the control listener; plain HTTP without it', default: '' },
  controlKeyPath: { kind: 'text', summary: 'PEM file with the private key of the control listener', default: '' },

  requestLimitBytes: { kind: 'number', summary: 'largest request body of a caller', unit: 'bytes', min: 1024, max: 1e9, default: 4_194_304 },
  connectionLimit: { kind: 'number', summary: 'most open connections of callers', unit: 'connections', min: 1, max: 1e6, default: 20_000 },
  defaultDeadlineMs: { kind: 'number', summary: 'deadline of requests that name none', unit: 'ms', min: 10, max: 86_400_000, default: 60_000 },
  deadlineLimitMs: { kind: 'number', summary: 'longest deadline that a caller can ask for', unit: 'ms', min: 10, max: 86_400_000, default: 600_000 },
  streamLimitBytes: { kind: 'number', summary: 'most bytes of one stream that its caller has not taken', unit: 'bytes', min: 1024, max: 1e9, default: 16_384 },
  silenceMs: { kind: 'number', summary: 'silence of an endpoint after which its connection is abandoned', unit: 'ms', min: 10, max: 600_000, default: 3000 },
  controlTimeoutMs: { kind: 'number', summary: 'time limit of a control call to another process', unit: 'ms', min: 10, max: 600_000, default: 2000 },
  exchangeIntervalMs: { kind: 'number', summary: 'interval of document comparisons with a random router', unit: 'ms', min: 10, max: 600_000, default: 2000 },
  budgetShards: { kind: 'number', summary: 'shards of the budget ledger, used only when the layout is created', unit: 'shards', min: 1, max: 9999, default: 16 },
  budgetFlushMs: { kind: 'number', summary: 'interval of writes of settled tokens', unit: 'ms', min: 100, max: 600_000, default: 15_000 },
  reclaimWaitMs: { kind: 'number', summary: 'longest wait for a running request of a lost router before it counts as wholly spent', unit: 'ms', min: 0, max: 86_400_000, default: 60_000 },
  recordFlushMs: { kind: 'number', summary: 'interval of writes of billing records and refusal accounts', unit: 'ms', min: 10, max: 600_000, default: 2000 },
  recordsLimitBytes: { kind: 'number', summary: 'most bytes of records that wait for the platform; at the limit new requests are refused', unit: 'bytes', min: 65_536, max: 1e10, default: 33_554_432 },
  drainDelayMs: { kind: 'number', summary: 'time for which a router that shuts down still accepts connections, while its health check fails; longer than the balancer needs to notice', unit: 'ms', min: 0, max: 600_000, default: 5000 },
  drainLimitMs: { kind: 'number', summary: 'longest graceful shutdown', unit: 'ms', min: 0, max: 86_400_000, default: 600_000 },

  logLevel: { kind: 'choice', summary: 'lowest level of log events that are written', choices: ['debug', 'info', 'warn', 'error'], default: 'info' },
  spans: { kind: 'choice', summary: 'where finished spans go: nowhere, or as JSON lines to standard error', choices: ['none', 'lines'], default: 'none' },
  statsdHost: { kind: 'text', summary: 'address of the StatsD agent; no metrics are sent without it', default: '' },
  statsdPort: { kind: 'number', summary: 'port of the StatsD agent', unit: 'port', min: 1, max: 65_535, default: 8125 }
})

export type RouterSettings = SettingsOf<typeof routerSettings>

/** Settings and the values that are parsed from them. */
export interface ResolvedRouterSettings {
  readonly settings: RouterSettings
  readonly adminKeys: readonly AdminKey[]
}

const listenerNames = ['caller', 'admin', 'control'] as const
export type ListenerName = typeof listenerNames[number]

/** TLS files of a listener; `undefined` means plain HTTP. */
export function tlsFilesOf (settings: RouterSettings, listener: ListenerName): TlsFiles | undefined {
  const certificatePath = settings[`${listener}CertificatePath`]
  const keyPath = settings[`${listener}KeyPath`]
  return certificatePath === '' ? undefined : { certificatePath, keyPath }
}

/** Flag and environment variable of a setting, for error messages. */
function describeSetting (name: keyof RouterSettings): string {
  return `${flagName(name)} (${environmentName(name)})`
}

function tlsProblems (settings: RouterSettings): readonly string[] {
  return listenerNames.flatMap(listener => {
    const hasCertificate = settings[`${listener}CertificatePath`] !== ''
    const hasKey = settings[`${listener}KeyPath`] !== ''
    if (hasCertificate === hasKey) return []
    return [`${describeSetting(`${listener}CertificatePath`)} and ${describeSetting(`${listener}KeyPath`)} must be given together`]
  })
}

function urlProblems (settings: RouterSettings): readonly string[] {
  const names = ['platformUrl', 'controlUrl'] as const
  return names.flatMap(name => {
    const value: string = settings[name]
    const isAuto = value === 'auto' && name !== 'platformUrl'
    return isAuto || /^https?:\/\/[^/\s]+/.test(value) ? [] : [`${describeSetting(name)} must be an http or https URL, not "${value}"`]
  })
}

/** Resolves and checks all settings of a router. Errors list every problem. */
export function resolveRouterSettings (sources: SettingsSources): Result<ResolvedRouterSettings, readonly string[]> {
  const resolved = resolveSettings(routerSettings, sources)
  if (resolved.isErr()) return resolved
  const settings = resolved.value
  const adminKeys = parseAdminKeys(settings.adminKeyHashes)
  const keyProblems = adminKeys.isErr() ? [`${describeSetting('adminKeyHashes')}: ${adminKeys.error}`] : []
  const problems = [...urlProblems(settings), ...tlsProblems(settings), ...keyProblems]
  return problems.length > 0 ? Err(problems) : Ok({ settings, adminKeys: adminKeys.unwrapOr([]) })
}
