/** Checks of a fleet text that concern several of its parts: names, cycles, routes and deadlines. */
import type { FleetConfig } from './fleetConfig.ts'
import type { FleetPath, FleetProblem, Locate } from './fleetProblem.ts'
import type { FleetTextValue, ServiceTextValue } from './fleetSchema.ts'
import { isAmbiguous, parseRoute, type RouteParts } from './routes.ts'

/** A rollout compares versions over several intervals of evidence, so a deadline closer than this cannot be met. */
export const minRolloutMs = 60_000

/** What deadlines are checked against when an operator checks or applies a text. */
export interface DeadlineContext {
  readonly nowMs: number
  /** Deadlines that the configuration in force already has are not checked again. */
  readonly inForce: FleetConfig | undefined
}

type Services = FleetTextValue['services']

function duplicates (names: readonly string[]): readonly number[] {
  return names.flatMap((name, index) => names.indexOf(name) < index ? [index] : [])
}

export function checkVersions (name: string, service: ServiceTextValue, locate: Locate): readonly FleetProblem[] {
  const path = ['services', name, 'versions']
  const repeated = duplicates(service.versions.map(version => version.name))
    .map(index => locate([...path, index, 'name'], `service ${name} lists version ${service.versions[index]?.name} twice`))
  const unordered = service.versions.flatMap((version, index) => {
    const earlier = service.versions.slice(0, index).find(other => (other.moveBy ?? -Infinity) >= (version.moveBy ?? Infinity))
    if (earlier === undefined) return []
    return [locate([...path, index, 'moveBy'], `version ${version.name} of ${name} must have a later moveBy than version ${earlier.name} before it`)]
  })
  return [...repeated, ...unordered]
}

export function checkCalls (name: string, service: ServiceTextValue, locate: Locate): readonly FleetProblem[] {
  if (service.kind !== 'plain') return []
  const seen: RouteParts[] = []
  return service.calls.flatMap((call, index) => {
    const path = ['services', name, 'calls', index, 'route']
    const parsed = parseRoute(call.route)
    if (parsed.isErr()) return [locate(path, parsed.error)]
    const route = parsed.value
    const repeats = seen.some(other => other.method === route.method && other.path === route.path)
    const ambiguous = seen.find(other => isAmbiguous(other, route))
    seen.push(route)
    if (repeats) return [locate(path, `service ${name} lists route "${call.route}" twice`)]
    if (ambiguous === undefined) return []
    return [locate(path, `route "${call.route}" matches some of the same paths as "${ambiguous.method} ${ambiguous.path}"; make one of them narrower`)]
  })
}

export function checkDependencies (services: Services, locate: Locate): readonly FleetProblem[] {
  const unknown = Object.entries(services).flatMap(([name, service]) => {
    const path = (index: number): FleetPath => ['services', name, 'dependsOn', index]
    return [
      ...duplicates(service.dependsOn).map(index => locate(path(index), `service ${name} depends on ${service.dependsOn[index]} twice`)),
      ...service.dependsOn.flatMap((other, index) => Object.hasOwn(services, other) ? [] : [locate(path(index), `service ${name} depends on ${other}, which the text does not list`)])
    ]
  })
  return unknown.length > 0 ? unknown : checkCycles(services, locate)
}

/** Removes services whose dependencies are all removed; what is left is on a cycle or depends on one. */
function checkCycles (services: Services, locate: Locate): readonly FleetProblem[] {
  const left = new Map(Object.entries(services).map(([name, service]) => [name, service.dependsOn]))
  for (let isChanged = true; isChanged;) {
    const free = [...left].filter(([, dependsOn]) => dependsOn.every(other => !left.has(other)))
    for (const [name] of free) left.delete(name)
    isChanged = free.length > 0
  }
  const cycle = cycleIn(left)
  const [first] = cycle
  if (first === undefined) return []
  return [locate(['services', first, 'dependsOn'], `services depend on each other in a cycle: ${[...cycle, first].join(' -> ')}`)]
}

function cycleIn (left: ReadonlyMap<string, readonly string[]>): readonly string[] {
  const path: string[] = []
  let name = left.keys().next().value
  while (name !== undefined && !path.includes(name)) {
    path.push(name)
    name = left.get(name)?.find(other => left.has(other))
  }
  return name === undefined ? [] : path.slice(path.indexOf(name))
}

/** Deadline of a rollout that the text starts; `undefined` when nothing has to move. */
function targetDeadline (service: ServiceTextValue | undefined): number | undefined {
  return service === undefined || service.versions.length < 2 ? undefined : service.versions.at(-1)?.moveBy
}

/** New deadlines must leave time for their rollout, and a rollout waits for those of the services it depends on. */
export function checkDeadlines (services: Services, context: DeadlineContext, locate: Locate): readonly FleetProblem[] {
  const earliestMs = context.nowMs + minRolloutMs
  return Object.entries(services).flatMap(([name, service]) => {
    const path = ['services', name, 'versions', service.versions.length - 1, 'moveBy']
    const deadline = targetDeadline(service)
    if (deadline === undefined || isInForce(context.inForce, name, service)) return []
    if (deadline < earliestMs) return [locate(path, `the moveBy of version ${service.versions.at(-1)?.name} of ${name} is past or less than ${minRolloutMs / 1000} s away`)]
    const blocking = service.dependsOn.find(other => deadline < (targetDeadline(services[other]) ?? 0) + minRolloutMs)
    if (blocking === undefined) return []
    return [locate(path, `the rollout of ${name} waits for the one of ${blocking}, so its moveBy must be at least ${minRolloutMs / 1000} s later`)]
  })
}

function isInForce (inForce: FleetConfig | undefined, name: string, service: ServiceTextValue): boolean {
  const target = service.versions.at(-1)
  return inForce?.services[name]?.versions.some(version => version.name === target?.name && version.moveByMs === target.moveBy) ?? false
}
