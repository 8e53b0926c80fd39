/** Keeps the gateway's view of configuration, endpoints and rollouts in step with the store. */
import type { Log, TimerService } from '@buckthorndrift/kernel'
import { reappearMs, type DirectoryChange } from '../shared/endpointDirectory.ts'
import { RouteTable } from '../shared/routeTable.ts'
import type { FleetStore, StoredObject } from '../shared/store.ts'
import type { GatewayState } from './gatewayState.ts'
import { StoreFollower, type FollowerListener } from './storeFollower.ts'

export interface FollowFleetOptions {
  readonly state: GatewayState
  readonly store: FleetStore
  readonly timers: TimerService
  readonly log: Log
  readonly random: () => number
  /** Called after each new configuration. */
  readonly onConfiguration: (table: RouteTable) => void
}

/** Time to notice a silent connection and to ask again, within the time after which news is expected to be known. */
const noticeMs = 1000
const shortestWatchMs = 1000
/** Changes of endpoints are gathered for this long; well below the time that an endpoint serves after it began to drain. */
const endpointPauseMs = 300
const expireCheckMs = 100

export interface FleetFollowers {
  /** Whether configuration and endpoints were read at least once. */
  isLoaded (): boolean
  stop (): void
}

export function followFleet (options: FollowFleetOptions): FleetFollowers {
  const { state, store, timers, log, random } = options
  const loaded = { configuration: false, endpoints: false }
  /** When the store last answered again after an outage. */
  let returnedMs = -Infinity

  /** Whether the store just came back, so that entries may be missing only because it was away. */
  function isAfterOutage (): boolean {
    return timers.monotonicMs() - returnedMs < reappearMs
  }

  function noteContact (kind: string, isInContact: boolean, detail: string): void {
    // The first follower that gets an answer tells when the store came back; later ones are not a return.
    if (isInContact && !isAfterOutage()) returnedMs = timers.monotonicMs()
    if (isInContact) log.event('storeContactRegained', { kind })
    else log.event('storeContactLost', { kind, detail })
  }

  function applyConfiguration (object: StoredObject): void {
    const configuration = state.dialect.decodeConfiguration(object)
    const current = state.table?.version ?? -1
    if (configuration === undefined || configuration.version <= current) {
      if (configuration?.version !== current) log.event('configurationIgnored', { object: object.name, revision: object.revision, version: configuration?.version ?? null })
      return
    }
    state.table = new RouteTable(configuration)
    state.ledger.configure(configuration.organisations ?? [])
    state.metrics.configurationVersion.set(configuration.version)
    log.event('configurationApplied', { version: configuration.version, revision: object.revision, routes: configuration.routes.length, organisations: configuration.organisations?.length ?? 0 })
    options.onConfiguration(state.table)
  }

  function noteChange (change: DirectoryChange | undefined): void {
    if (change === undefined) return
    const { id, service, address, version } = change.endpoint
    log.event('endpointChanged', { change: change.kind, endpoint: id, service, address, version })
    // An endpoint that only left did not die of a request that it was running.
    if (change.kind === 'replaced') state.crashes.noteDeath(change.endpoint)
    if (change.kind === 'removed') state.peers.forget(id)
  }

  const configurationListener: FollowerListener = {
    onObject: object => { if (object.name === state.dialect.configurationName) applyConfiguration(object) },
    // A configuration stays in force until a newer one comes.
    onRemoved: () => {},
    onListed: () => { loaded.configuration = state.table !== undefined },
    onContact: (isInContact, detail) => { noteContact('configuration', isInContact, detail) }
  }

  function removeEndpoint (id: string): void {
    if (isAfterOutage()) state.directory.lapse(id, returnedMs + reappearMs)
    else noteChange(state.directory.remove(id))
  }

  const endpointListener: FollowerListener = {
    onObject: object => {
      const entry = state.dialect.decodeEndpoint(object)
      if (entry !== undefined) {
        noteChange(state.directory.put(entry))
        return
      }
      log.event('endpointEntryIgnored', { endpoint: object.name, revision: object.revision })
      noteChange(state.directory.remove(object.name))
    },
    onRemoved: removeEndpoint,
    onListed: names => {
      for (const id of state.directory.missingFrom(names)) removeEndpoint(id)
      loaded.endpoints = true
    },
    onContact: (isInContact, detail) => { noteContact('endpoints', isInContact, detail) }
  }

  const watchWaitMs = Math.max(shortestWatchMs, state.deployment.contactMs - noticeMs)
  const followers = [
    new StoreFollower({ kind: 'configuration', store, timers, random, listener: configurationListener, waitMs: watchWaitMs, pauseMs: 0 }),
    new StoreFollower({ kind: 'endpoints', store, timers, random, listener: endpointListener, waitMs: watchWaitMs, pauseMs: endpointPauseMs })
  ]
  for (const follower of followers) follower.start()
  const stopExpiring = timers.every(expireCheckMs, () => {
    for (const change of state.directory.expire(timers.monotonicMs())) noteChange(change)
  })
  return {
    isLoaded: () => loaded.endpoints && state.table !== undefined,
    stop: () => {
      stopExpiring()
      for (const follower of followers) follower.stop()
    }
  }
}
