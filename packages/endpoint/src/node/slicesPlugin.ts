/** Entries and fences of slices: reads `fences` before the first call and asks holders about old entries. */
import { definePlugin, type Log, type Plugin, type TimerService } from '@buckthorndrift/kernel'
import {
  documentsKey, membershipKey, objectStoreKey, type Documents, type Membership, type ObjectStore
} from '@buckthorndrift/coordination'
import { fencesName, fencesSchema, handoverName, isHolderOf, type StoredHandover } from '@buckthorndrift/policy'
import type { EndpointSettings } from '../shared/endpointSettings.ts'
import { controlPartsKey, peersKey, type Peers } from '../shared/services.ts'
import type { Gate } from './requestDispatcher.ts'

/** Pause before the fences are read again after a failure, in ms. */
const fenceRetryMs = 1000

interface Parts {
  readonly gate: Gate
  readonly settings: EndpointSettings
  readonly incarnation: string
  readonly timers: TimerService
  readonly log: Log
  readonly documents: Documents
  readonly membership: Membership
  readonly store: ObjectStore
  readonly peers: Peers
}

function applyFences (gate: Gate, value: unknown): void {
  const fences = fencesSchema.safeParse(value)
  if (!fences.success) return
  for (const holder of fences.data.holders) {
    if (!gate.entries.isFenced(holder)) gate.fence(holder)
  }
}

/** Opens the gate once the fences are known; without the platform calls stay refused. */
async function readFences (parts: Parts): Promise<void> {
  const { gate, documents, log, timers } = parts
  const fences = await documents.refresh(fencesName)
  if (fences.isErr()) {
    log.event('fencesUnread', { detail: fences.error.kind })
    timers.after(fenceRetryMs, () => { readFences(parts) })
    return
  }
  applyFences(gate, fences.value?.value)
  gate.open()
  log.event('endpointOpened')
}

/** Asks the holders of entries that are older than `ageMs` what they have flushed. */
async function askHolders ({ gate, membership, peers, timers }: Parts, ageMs: number): Promise<void> {
  const routers = membership.routers()
  await Promise.all(gate.entries.takeDueQueries(timers.monotonicMs(), ageMs).map(async ({ holder, shard }) => {
    const router = routers.find(one => isHolderOf(holder, one))
    if (router === undefined) return
    try {
      gate.entries.prune(holder, shard, await peers.router(router.controlUrl).budget.settledSeq.query({ holder, shard }))
    } catch {
      // The next round asks again; until then the entries stay.
    }
  }))
}

/**
 * Writes the entries that no holder has flushed, so that a later reclaim finds
 * them. Without entries the object still shows that nothing is missing: a
 * process that vanishes without one makes a reclaim count slices wholly.
 */
async function handOverEntries (parts: Parts): Promise<void> {
  await askHolders(parts, 0)
  const { gate, settings, incarnation, store, log } = parts
  const value: StoredHandover = { endpointId: settings.id, incarnation, holders: Object.fromEntries(gate.entries.all()) }
  const written = await store.write(handoverName(settings.id, incarnation), value, 0)
  if (written.isErr()) log.event('handoverFailed', { what: 'entries', count: gate.entries.size, detail: written.error.kind })
}

export function createSlicesPlugin (settings: EndpointSettings, incarnation: string, gate: Gate): Plugin {
  return definePlugin({
    name: 'slices',
    setup (context) {
      const { timers, log } = context
      const parts: Parts = {
        gate,
        settings,
        incarnation,
        timers,
        log,
        documents: context.use(documentsKey),
        membership: context.use(membershipKey),
        store: context.use(objectStoreKey),
        peers: context.use(peersKey)
      }
      context.use(controlPartsKey).set('slices', {
        fence: async ({ holder }) => gate.fence(holder),
        forget: async ({ holder }) => { gate.entries.forget(holder) }
      })
      const stops = [
        parts.documents.subscribe(fencesName, ({ value }) => { applyFences(gate, value) }),
        timers.every(settings.entryQueryMs / 4, () => { askHolders(parts, settings.entryQueryMs) })
      ]
      return {
        ready: () => readFences(parts),
        drain: () => handOverEntries(parts),
        close () { for (const stop of stops) stop() }
      }
    }
  })
}
