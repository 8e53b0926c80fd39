/** Lookup of routes, API keys and services in one version of the configuration. */
import { EngineRanks, type RequestPriority } from '@buckthorndrift/policy'
import type { FleetConfiguration, Organisation, Route, Service } from './fleet.ts'

/** Priorities of requests that engines may get under a configuration. */
function enginePriorities ({ routes, services, organisations }: FleetConfiguration): readonly RequestPriority[] {
  const engines = new Set(services.filter(({ engine }) => engine !== undefined).map(({ name }) => name))
  const engineRoutes = routes.filter(({ targets }) => targets.some(({ service }) => engines.has(service)))
  const organisationPriorities = new Set((organisations ?? []).map(({ priority }) => priority))
  if (organisations === undefined || engineRoutes.some(({ isPublic }) => isPublic)) organisationPriorities.add(undefined)
  const routePriorities = [...new Set(engineRoutes.map(({ priority }) => priority))]
  return routePriorities.flatMap(route => [...organisationPriorities].map(priority => ({ base: priority ?? route, route })))
}

export class RouteTable {
  readonly configuration: FleetConfiguration
  /** Ranks by which engines start requests. */
  readonly engineRanks: EngineRanks
  /** Routes by host, ordered from the longest path prefix to the shortest. */
  readonly #routes = new Map<string, Route[]>()
  /** Organisations by API key. */
  readonly #organisations = new Map<string, Organisation>()
  readonly #services = new Map<string, Service>()

  constructor (configuration: FleetConfiguration) {
    this.configuration = configuration
    this.engineRanks = new EngineRanks(enginePriorities(configuration))
    for (const route of configuration.routes) {
      const routes = this.#routes.get(route.host) ?? []
      routes.push(route)
      this.#routes.set(route.host, routes)
    }
    for (const routes of this.#routes.values()) routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)
    for (const organisation of configuration.organisations ?? []) {
      for (const key of organisation.apiKeys) this.#organisations.set(key, organisation)
    }
    for (const service of configuration.services) this.#services.set(service.name, service)
  }

  get version (): number {
    return this.configuration.version
  }

  /** Whether requests to routes that are not public need an API key. */
  get needsKeys (): boolean {
    return this.configuration.organisations !== undefined
  }

  /** The route with the longest matching path prefix for the host and the request target. */
  match (host: string, target: string): Route | undefined {
    const query = target.indexOf('?')
    const path = query === -1 ? target : target.slice(0, query)
    const name = host.toLowerCase().replace(/:\d+$/, '')
    return this.#routes.get(name)?.find(route => path.startsWith(route.pathPrefix))
  }

  organisationOf (apiKey: string): Organisation | undefined {
    return this.#organisations.get(apiKey)
  }

  service (name: string): Service | undefined {
    return this.#services.get(name)
  }
}
