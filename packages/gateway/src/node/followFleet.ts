/** Keeps the configuration, the endpoint directory and the orders to evacuate failure domains of the gateway up to date with the store. */
import type { Log, TimerService, Unsubscribe } from '@buckthorndrift/kernel'
import { reregistrationWindowMs, type DirectoryChange } from '../shared/endpointDirectory.ts'
import type { EndpointEntry } from '../shared/fleet.ts'
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

/** Watches are shorter than `contactMs` by this time. It is enough to detect a silent connection and to call the store again within `contactMs`. */
const silenceDetectionMs = 1000
const minWatchMs = 1000
/** Wait of a watch of objects that change rarely, while no change is expected. Each call counts. */
const idleWatchMs = 12_000
/** Pause between two watch calls, in which endpoint changes are collected. It is well below the time for which a draining endpoint still serves requests. */
const endpointBatchMs = 300
/** Pause between two watch calls, in which the evidence of a crash from several routers is collected. */
const crashBatchMs = 300
const expiryCheckIntervalMs = 100
/** Time after a heartbeat by which routers have read the entry, with a margin. */
const entryDelayMs = 2 * endpointBatchMs
/** Times after a restore of the store at which the endpoints are listed again: when live endpoints have written their entries again, and when the entries of the others have expired. */
const relistDelaysMs: readonly number[] = [2500, 6000]
/** Time after a restore of the store after which an order that is missing from a list was taken back, and not lost. */
const restoreSettledMs = 6000

export interface FleetFollowers {
  /** Whether the configuration and the endpoints were read at least once. */
  isLoaded (): boolean
  stop (): void
}

export function followFleet (options: FollowFleetOptions): FleetFollowers {
  const { state, store, timers, log, random } = options
  const loaded = { configuration: false, endpoints: false, rollouts: false, crashes: false }
  /** Time of the first response of the store after its last outage. */
  let contactRegainedMs = -Infinity
  /** Whether the store was restored from a copy while this router ran. */
  let isStoreRestored = false
  /** Whether operators may still be writing orders again that the restore lost. */
  let isRestoreRecent = false
  let stopSettling: Unsubscribe = () => {}

  /** Whether the store recovered from an outage only recently. Entries may then be missing because endpoints could not renew them. */
  function isAfterOutage (): boolean {
    return timers.monotonicMs() - contactRegainedMs < reregistrationWindowMs
  }

  function onContactChange (kind: string, isInContact: boolean, detail: string): void {
    // The first follower that gets a response marks the recovery of the store. Responses to other followers shortly afterwards do not restart the re-registration window.
    if (isInContact && !isAfterOutage()) contactRegainedMs = timers.monotonicMs()
    if (isInContact) log.event('storeContactRegained', { kind })
    else log.event('storeContactLost', { kind, detail })
  }

  function applyConfiguration (object: StoredObject): void {
    const configuration = state.dialect.decodeConfiguration(object)
    const current = state.routeTable?.version ?? -1
    if (configuration === undefined || configuration.version <= current) {
      if (configuration?.version !== current) log.event('configurationIgnored', { object: object.name, revision: object.revision, version: configuration?.version ?? null })
      return
    }
    state.routeTable = new RouteTable(configuration)
    state.ledger.configure(configuration.organisations ?? [])
    state.metrics.configurationVersion.set(configuration.version)
    log.event('configurationApplied', { version: configuration.version, revision: object.revision, routes: configuration.routes.length, organisations: configuration.organisations?.length ?? 0 })
    options.onConfiguration(state.routeTable)
  }

  function onDirectoryChange (change: DirectoryChange | undefined): void {
    if (change === undefined) return
    const { id, service, address, version } = change.endpoint
    log.event('endpointChanged', { change: change.kind, endpoint: id, service, address, version })
    // A removed entry is no sign of a crash, because an endpoint that shut down is removed as well.
    if (change.kind === 'replaced') state.crashes.recordEndpointDown(change.endpoint)
    if (change.kind === 'removed') {
      state.endpoints.forget(id)
      state.coldEndpoints.forget(id)
    }
  }

  const configurationListener: FollowerListener = {
    onObject: object => { if (object.name === state.dialect.configurationName) applyConfiguration(object) },
    // Removing the configuration object has no effect: the last configuration stays in force until a newer one arrives.
    onRemoved: () => {},
    onListed: () => { loaded.configuration = state.routeTable !== undefined },
    onContact: (isInContact, detail) => { onContactChange('configuration', isInContact, detail) }
  }

  function removeEndpoint (id: string): void {
    if (isAfterOutage()) state.directory.scheduleRemoval(id, contactRegainedMs + reregistrationWindowMs)
    else onDirectoryChange(state.directory.remove(id))
  }

  function recordCold (entry: EndpointEntry): void {
    if (state.deployment.coldBound === undefined || !state.coldEndpoints.record(entry, state.clock.nowMs())) return
    const { id, service, address, coldRemainingMs } = entry
    log.event('endpointCold', { endpoint: id, service, address, coldMs: coldRemainingMs })
  }

  const endpointListener: FollowerListener = {
    onObject: object => {
      const entry = state.dialect.decodeEndpoint(object)
      if (entry !== undefined && state.directory.isSuperseded(entry, isStoreRestored)) {
        log.event('endpointEntryIgnored', { endpoint: object.name, revision: object.revision, isSuperseded: true })
        return
      }
      if (entry !== undefined) {
        recordCold(entry)
        onDirectoryChange(state.directory.put(entry))
        return
      }
      log.event('endpointEntryIgnored', { endpoint: object.name, revision: object.revision })
      onDirectoryChange(state.directory.remove(object.name))
    },
    onRemoved: removeEndpoint,
    onListed: names => {
      for (const id of state.directory.missingFrom(names)) removeEndpoint(id)
      loaded.endpoints = true
    },
    onContact: (isInContact, detail) => { onContactChange('endpoints', isInContact, detail) }
  }

  const rolloutListener: FollowerListener = {
    onObject: object => { state.rollouts.applyOrder(object) },
    // The result of a removed order stays in force, because its endpoints may still be listed.
    onRemoved: () => {},
    onListed: () => { loaded.rollouts = true },
    onContact: (isInContact, detail) => { onContactChange('rollouts', isInContact, detail) }
  }

  const crashListener: FollowerListener = {
    onObject: object => { state.crashes.applyStored(object) },
    onRemoved: name => { state.crashes.applyRemoved(name) },
    onListed: names => {
      state.crashes.applyListed(names)
      loaded.crashes = true
    },
    onContact: (isInContact, detail) => { onContactChange('crashes', isInContact, detail) }
  }

  /** Endpoints may have become cold shortly before their failure domain is taken back, and the entries that say so are on their way. Those of services that name no pace are not presumed to be cold. */
  function presumeCold (failureDomain: string): void {
    if (state.deployment.coldBound === undefined) return
    const untilMs = state.clock.nowMs() + state.deployment.heartbeatMs + entryDelayMs
    for (const { id, service, failureDomain: own } of state.directory.all()) {
      const pace = state.routeTable?.service(service)?.coldRequestsPerSecond ?? 0
      if (own === failureDomain && pace > 0) state.coldEndpoints.presume(id, untilMs)
    }
  }

  function onEvacuation (failureDomain: string, isEvacuated: boolean): void {
    if (!isEvacuated) presumeCold(failureDomain)
    state.directory.applyEvacuations()
    log.event('evacuationChanged', { failureDomain, isEvacuated, evacuated: state.evacuations.size })
  }

  const evacuationListener: FollowerListener = {
    onObject: ({ name }) => { if (state.evacuations.begin(name)) onEvacuation(name, true) },
    onRemoved: name => { if (state.evacuations.end(name)) onEvacuation(name, false) },
    onListed: names => {
      const wasKnown = state.evacuations.isKnown
      for (const name of state.evacuations.applyListed(names, { mayLackOrders: isRestoreRecent })) onEvacuation(name, false)
      if (!wasKnown) state.directory.applyEvacuations()
    },
    onContact: (isInContact, detail) => { onContactChange('evacuations', isInContact, detail) }
  }

  const watchWaitMs = Math.max(minWatchMs, state.deployment.contactMs - silenceDetectionMs)
  const probe = new StoreFollower({ kind: 'endpoints', store, timers, log, random, listener: endpointListener, waitMs: () => watchWaitMs, pauseMs: endpointBatchMs })
  const evacuationFollower = new StoreFollower({ kind: 'evacuations', store, timers, log, random, listener: evacuationListener, waitMs: () => watchWaitMs, pauseMs: 0 })
  const followers = [
    probe,
    new StoreFollower({ kind: 'configuration', store, timers, log, random, listener: configurationListener, waitMs: () => watchWaitMs, pauseMs: 0, listsAfterFailure: true, probe }),
    new StoreFollower({ kind: 'rollouts', store, timers, log, random, listener: rolloutListener, waitMs: () => state.rollouts.isRunning ? watchWaitMs : idleWatchMs, pauseMs: 0, probe }),
    new StoreFollower({ kind: 'crashes', store, timers, log, random, listener: crashListener, waitMs: () => state.crashes.isInSeries ? watchWaitMs : idleWatchMs, pauseMs: crashBatchMs, probe }),
    ...(state.deployment.hasEvacuations ? [evacuationFollower] : [])
  ]
  for (const follower of followers) follower.start()
  // Endpoints and operators write again what the restore lost. Entries that are ignored until then show no further event if only their heartbeat changes.
  const stopRestoreListener = store.onRestored(() => {
    isStoreRestored = true
    contactRegainedMs = timers.monotonicMs()
    log.event('storeRestored', { era: store.era() })
    for (const delayMs of relistDelaysMs) timers.after(delayMs, () => { probe.relist() })
    isRestoreRecent = true
    stopSettling()
    stopSettling = timers.after(restoreSettledMs, () => {
      isRestoreRecent = false
      evacuationFollower.relist()
    })
  })
  const stopExpiring = timers.every(expiryCheckIntervalMs, () => {
    for (const change of state.directory.removeExpired(timers.monotonicMs())) onDirectoryChange(change)
  })
  return {
    isLoaded: () => loaded.endpoints && state.evacuations.isKnown && loaded.rollouts && loaded.crashes && state.routeTable !== undefined,
    stop: () => {
      stopRestoreListener()
      stopSettling()
      stopExpiring()
      for (const follower of followers) follower.stop()
    }
  }
}
