/**
 * Manages fences and entries of budget slices. A slice is the part of a budget
 * that one holder may spend. A fence refuses requests under the reservations of
 * a holder. An entry is a reservation whose request this process runs or ran.
 * The fences are read before the first call is accepted.
 */
import { definePlugin, type Log, type Plugin, type TimerService } from '@buckthorndrift/kernel'
import {
  documentsKey, membershipKey, objectStoreKey, type Documents, type Membership, type ObjectStore
} from '@buckthorndrift/coordination'
import { fencesName, fencesSchema, handoverName, isHolderOf, type StoredHandover } from '@buckthorndrift/policy'
import type { EndpointSettings } from '../shared/endpointSettings.ts'
import { controlHandlersKey, peerClientsKey, type PeerClients } from '../shared/services.ts'
import type { RequestDispatcher } from './requestDispatcher.ts'

/** Delay before the fences are read again after a failure. */
const fenceRetryMs = 1000

interface SlicesDeps {
  readonly dispatcher: RequestDispatcher
  readonly settings: EndpointSettings
  readonly incarnation: string
  readonly timers: TimerService
  readonly log: Log
  readonly documents: Documents
  readonly membership: Membership
  readonly store: ObjectStore
  readonly peerClients: PeerClients
}

function applyFences (dispatcher: RequestDispatcher, value: unknown): void {
  const fences = fencesSchema.safeParse(value)
  if (!fences.success) return
  for (const holder of fences.data.holders) {
    if (!dispatcher.sliceEntries.isFenced(holder)) dispatcher.fence(holder)
  }
}

/** Reads the fences, retrying until the platform responds, and then starts to accept calls. */
async function readFencesAndStart (deps: SlicesDeps): Promise<void> {
  const { dispatcher, documents, log, timers } = deps
  const fences = await documents.refresh(fencesName)
  if (fences.isErr()) {
    log.event('fencesUnread', { detail: fences.error.kind })
    timers.after(fenceRetryMs, () => { readFencesAndStart(deps) })
    return
  }
  applyFences(dispatcher, fences.value?.value)
  dispatcher.startAccepting()
  log.event('endpointOpened')
}

/** Asks the holders of entries older than `ageMs` up to which sequence number they have stored all settlements, and removes the entries up to it. */
async function queryHolders ({ dispatcher, membership, peerClients, timers }: SlicesDeps, ageMs: number): Promise<void> {
  const routers = membership.routers()
  await Promise.all(dispatcher.sliceEntries.takeDueQueries(timers.monotonicMs(), ageMs).map(async ({ holder, shard }) => {
    const router = routers.find(member => isHolderOf(holder, member))
    if (router === undefined) return
    try {
      dispatcher.sliceEntries.prune(holder, shard, await peerClients.router(router.controlUrl).budget.settledSeq.query({ holder, shard }))
    } catch {
      // The entries stay, and a later round queries the holder again.
    }
  }))
}

/**
 * Writes the entries whose settlement the holder has not stored. When the
 * slices of a lost holder are reclaimed, these entries give the tokens spent.
 * The object is written even without entries, to show that none are missing: if
 * a process ends without writing it, a reclaim has to count whole slices as spent.
 */
async function handOverEntries (deps: SlicesDeps): Promise<void> {
  await queryHolders(deps, 0)
  const { dispatcher, settings, incarnation, store, log } = deps
  const value: StoredHandover = { endpointId: settings.id, incarnation, holders: Object.fromEntries(dispatcher.sliceEntries.all()) }
  const written = await store.write(handoverName(settings.id, incarnation), value, 0)
  if (written.isErr()) log.event('handoverFailed', { what: 'entries', count: dispatcher.sliceEntries.size, detail: written.error.kind })
}

export function createSlicesPlugin (settings: EndpointSettings, incarnation: string, dispatcher: RequestDispatcher): Plugin {
  return definePlugin({
    name: 'slices',
    setup (context) {
      const { timers, log } = context
      const deps: SlicesDeps = {
        dispatcher,
        settings,
        incarnation,
        timers,
        log,
        documents: context.use(documentsKey),
        membership: context.use(membershipKey),
        store: context.use(objectStoreKey),
        peerClients: context.use(peerClientsKey)
      }
      context.use(controlHandlersKey).set('slices', {
        fence: async ({ holder }) => dispatcher.fence(holder),
        forget: async ({ holder }) => { dispatcher.sliceEntries.forget(holder) }
      })
      const stopFunctions = [
        deps.documents.subscribe(fencesName, ({ value }) => { applyFences(dispatcher, value) }),
        timers.every(settings.entryQueryMs / 4, () => { queryHolders(deps, settings.entryQueryMs) })
      ]
      return {
        ready: () => readFencesAndStart(deps),
        drain: () => handOverEntries(deps),
        close () { for (const stop of stopFunctions) stop() }
      }
    }
  })
}
