/** Checks across several parts of a fleet text: duplicate names, routes, dependency cycles and deadlines. */
import type { FleetConfig } from './fleetConfig.ts'
import type { FleetPath, FleetProblem, ProblemLocator } from './fleetProblem.ts'
import type { FleetTextValue, ServiceTextValue } from './fleetSchema.ts'
import { isAmbiguous, parseRoute, type RouteParts } from './routes.ts'

/** Shortest duration of a rollout, which compares versions over several intervals. A closer deadline cannot be met. */
export const minRolloutMs = 60_000

/** Time and configuration against which deadlines are checked when an operator checks or applies a text. */
export interface DeadlineContext {
  readonly nowMs: number
  /** The active configuration. Deadlines that it already has are not checked again. */
  readonly inForce: FleetConfig | undefined
}

type Services = FleetTextValue['services']

/** Indexes of the names that already occur earlier in the list. */
function findDuplicates (names: readonly string[]): readonly number[] {
  return names.flatMap((name, index) => names.indexOf(name) < index ? [index] : [])
}

/** Checks that the versions of a service have unique names and increasing deadlines. */
export function checkVersions (name: string, service: ServiceTextValue, locate: ProblemLocator): readonly FleetProblem[] {
  const path = ['services', name, 'versions']
  const repeated = findDuplicates(service.versions.map(version => version.name))
    .map(index => locate([...path, index, 'name'], `service ${name} lists version ${service.versions[index]?.name} twice`))
  const unordered = service.versions.flatMap((version, index) => {
    const earlier = service.versions.slice(0, index).find(other => (other.moveBy ?? -Infinity) >= (version.moveBy ?? Infinity))
    if (earlier === undefined) return []
    return [locate([...path, index, 'moveBy'], `version ${version.name} of ${name} must have a later moveBy than version ${earlier.name} before it`)]
  })
  return [...repeated, ...unordered]
}

/** Checks that the routes of a plain service are valid, unique and unambiguous. */
export function checkCalls (name: string, service: ServiceTextValue, locate: ProblemLocator): readonly FleetProblem[] {
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

/** Checks that dependencies are listed services, occur once and form no cycle. */
export function checkDependencies (services: Services, locate: ProblemLocator): readonly FleetProblem[] {
  const unknown = Object.entries(services).flatMap(([name, service]) => {
    const path = (index: number): FleetPath => ['services', name, 'dependsOn', index]
    return [
      ...findDuplicates(service.dependsOn).map(index => locate(path(index), `service ${name} depends on ${service.dependsOn[index]} twice`)),
      ...service.dependsOn.flatMap((other, index) => Object.hasOwn(services, other) ? [] : [locate(path(index), `service ${name} depends on ${other}, which the text does not list`)])
    ]
  })
  return unknown.length > 0 ? unknown : checkCycles(services, locate)
}

/** Repeatedly removes the services whose dependencies are all removed. Services that remain are on a cycle or depend on one. */
function checkCycles (services: Services, locate: ProblemLocator): readonly FleetProblem[] {
  const remaining = new Map(Object.entries(services).map(([name, service]) => [name, service.dependsOn]))
  for (let isChanged = true; isChanged;) {
    const resolvable = [...remaining].filter(([, dependsOn]) => dependsOn.every(other => !remaining.has(other)))
    for (const [name] of resolvable) remaining.delete(name)
    isChanged = resolvable.length > 0
  }
  const cycle = findCycle(remaining)
  const [first] = cycle
  if (first === undefined) return []
  return [locate(['services', first, 'dependsOn'], `services depend on each other in a cycle: ${[...cycle, first].join(' -> ')}`)]
}

/** Services of one cycle, each followed by one that it depends on; empty when nothing remains. */
function findCycle (remaining: ReadonlyMap<string, readonly string[]>): readonly string[] {
  const path: string[] = []
  let name = remaining.keys().next().value
  while (name !== undefined && !path.includes(name)) {
    path.push(name)
    name = remaining.get(name)?.find(other => remaining.has(other))
  }
  return name === undefined ? [] : path.slice(path.indexOf(name))
}

/** Deadline of the rollout to the last version of a service; `undefined` with a single version or without a deadline. */
function targetDeadline (service: ServiceTextValue | undefined): number | undefined {
  return service === undefined || service.versions.length < 2 ? undefined : service.versions.at(-1)?.moveBy
}

/** Checks that each new deadline leaves enough time for a rollout, counted from now and from the deadlines of the services that it depends on. */
export function checkDeadlines (services: Services, context: DeadlineContext, locate: ProblemLocator): readonly FleetProblem[] {
  const earliestMs = context.nowMs + minRolloutMs
  return Object.entries(services).flatMap(([name, service]) => {
    const path = ['services', name, 'versions', service.versions.length - 1, 'moveBy']
    const deadline = targetDeadline(service)
    if (deadline === undefined || isDeadlineInForce(context.inForce, name, service)) return []
    if (deadline < earliestMs) return [locate(path, `the moveBy of version ${service.versions.at(-1)?.name} of ${name} has passed or is less than ${minRolloutMs / 1000} s away`)]
    const blocking = service.dependsOn.find(other => deadline < (targetDeadline(services[other]) ?? 0) + minRolloutMs)
    if (blocking === undefined) return []
    return [locate(path, `the rollout of ${name} waits for the one of ${blocking}, so its moveBy must be at least ${minRolloutMs / 1000} s after that of the other service`)]
  })
}

function isDeadlineInForce (inForce: FleetConfig | undefined, name: string, service: ServiceTextValue): boolean {
  const target = service.versions.at(-1)
  return inForce?.services[name]?.versions.some(version => version.name === target?.name && version.moveByMs === target.moveBy) ?? false
}
