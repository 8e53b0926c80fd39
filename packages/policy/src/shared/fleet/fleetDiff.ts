/** Differences between two fleet configurations, in the form shown to operators. */
import type { FleetConfig, ServiceConfig } from './fleetConfig.ts'

export interface FleetChange {
  readonly kind: 'added' | 'removed' | 'changed'
  /** Name of the setting, such as `boarding-desk calls "GET /chambers/*" priceTokens`. */
  readonly part: string
  /** Previous value; absent when the setting was added. */
  readonly before?: string
  /** New value; absent when the setting was removed. */
  readonly after?: string
}

/** Names and values of the settings of a service. */
function settingsOf (service: ServiceConfig): ReadonlyArray<readonly [string, string]> {
  const { name } = service
  const own: ReadonlyArray<readonly [string, string]> = service.kind === 'model'
    ? [[`${name} maxOutputTokens`, String(service.maxOutputTokens)]]
    : service.calls.flatMap(call => [
      [`${name} calls "${call.route}" idempotent`, String(call.idempotent)],
      [`${name} calls "${call.route}" priceTokens`, String(call.priceTokens)]
    ])
  return [
    [`${name} kind`, service.kind],
    ...(service.dependsOn.length === 0 ? [] : [[`${name} dependsOn`, service.dependsOn.join(', ')] as const]),
    [`${name} endpointLimit`, String(service.endpointLimit)],
    [`${name} versions`, service.versions.map(version => version.name).join(', ')],
    ...service.versions.flatMap(version => version.moveByMs === undefined ? [] : [[`${name} versions ${version.name} moveByMs`, String(version.moveByMs)] as const]),
    ...own
  ]
}

function allSettings (config: FleetConfig | undefined): ReadonlyMap<string, string> {
  return new Map(Object.values(config?.services ?? {}).flatMap(service => settingsOf(service)))
}

/** Lists the differences; empty when both configurations are equivalent. */
export function diffFleet (before: FleetConfig | undefined, after: FleetConfig): readonly FleetChange[] {
  const old = allSettings(before)
  const next = allSettings(after)
  return [...new Set([...old.keys(), ...next.keys()])].flatMap((part): readonly FleetChange[] => {
    const from = old.get(part)
    const to = next.get(part)
    if (from === to) return []
    if (from === undefined) return [{ kind: 'added', part, after: to ?? '' }]
    if (to === undefined) return [{ kind: 'removed', part, before: from }]
    return [{ kind: 'changed', part, before: from, after: to }]
  })
}
