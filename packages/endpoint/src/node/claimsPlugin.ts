/**
 * Connects the claim shards of this process's service to the control handlers, the documents and the platform.
 * A claim records which endpoint process runs the request with an idempotency key.
 */
import { definePlugin, type Plugin } from '@buckthorndrift/kernel'
import { claimLayoutOf, claimsName, documentsKey, membershipKey, objectStoreKey, type Documents, type Membership, type ObjectStore } from '@buckthorndrift/coordination'
import { ClaimNode, type ClaimLayout, type ClaimProcess, type LayoutWrite } from '@buckthorndrift/policy'
import type { Member } from '@buckthorndrift/protocol'
import type { EndpointSettings } from '../shared/endpointSettings.ts'
import { controlHandlersKey, peerClientsKey } from '../shared/services.ts'

/** Interval at which the process checks whether the owner or witness (replica) of a claim shard has to be replaced. */
const reconcileIntervalMs = 1000

function toClaimProcess (member: Member): ClaimProcess {
  const { id, incarnation, controlUrl, vm, failureDomain } = member
  return { id, incarnation, url: controlUrl, vm, failureDomain }
}

/** Whether the process can never respond again: its id is registered with another incarnation, or its VM is not on the platform's list. */
async function isGone (process: ClaimProcess, membership: Membership, store: ObjectStore): Promise<boolean> {
  const registered = membership.endpoints().find(member => member.id === process.id)
  if (registered !== undefined) return registered.incarnation !== process.incarnation
  const vms = await store.vms()
  return vms.isOk() && !vms.value.some(({ vm }) => vm === process.vm)
}

async function writeLayout (name: string, layout: ClaimLayout, expectedVersion: number, store: ObjectStore, documents: Documents): Promise<LayoutWrite> {
  const written = await store.write(name, layout, expectedVersion)
  if (written.isErr()) return { kind: written.error.kind === 'conflict' ? 'conflict' : 'unavailable' }
  documents.learn({ name, version: written.value, value: layout })
  return { kind: 'written', version: written.value }
}

export function createClaimsPlugin (settings: EndpointSettings): Plugin {
  return definePlugin({
    name: 'claims',
    setup (context) {
      const { timers, log } = context
      const documents = context.use(documentsKey)
      const membership = context.use(membershipKey)
      const store = context.use(objectStoreKey)
      const peerClients = context.use(peerClientsKey)
      const documentName = claimsName(settings.service)
      const claimNode = new ClaimNode({
        service: settings.service,
        self: toClaimProcess(membership.self),
        shards: settings.claimShards,
        retentionMs: settings.claimRetentionMs,
        limit: settings.claimsLimit,
        ports: {
          nowMs: () => timers.monotonicMs(),
          send: (witness, copy) => peerClients.endpoint(witness.url).claims.replicate.mutate(copy).catch(() => undefined),
          read: async () => {
            const stored = await documents.refresh(documentName)
            if (stored.isErr()) return undefined
            return { version: stored.value?.version ?? 0, layout: claimLayoutOf(stored.value?.value) }
          },
          write: (layout, expectedVersion) => writeLayout(documentName, layout, expectedVersion, store, documents),
          processes: () => membership.endpoints(settings.service).filter(member => !member.leaving).map(toClaimProcess),
          isGone: process => isGone(process, membership, store),
          onChange: (kind, shards) => { log.event(kind === 'lost' ? 'claimsLost' : 'claimsTakenOver', { shards }) }
        }
      })
      let isReconciling = false
      async function reconcile (): Promise<void> {
        if (isReconciling) return
        isReconciling = true
        await claimNode.reconcile().finally(() => { isReconciling = false })
      }
      function applyLayout (): void {
        const stored = documents.get(documentName)
        if (stored !== undefined) claimNode.applyLayout({ version: stored.version, layout: claimLayoutOf(stored.value) })
      }
      context.use(controlHandlersKey).set('claims', {
        claim: input => claimNode.claim(input),
        replicate: async input => claimNode.replicate(input),
        async takeOver ({ shard, epoch }) {
          if (!await claimNode.takeOver(shard, epoch)) throw new Error('the claim shard cannot be taken over now')
        }
      })
      const stopFunctions: (() => void)[] = []
      return {
        async ready () {
          applyLayout()
          await reconcile()
          stopFunctions.push(
            documents.subscribe(documentName, applyLayout),
            membership.subscribe(() => { reconcile() }),
            timers.every(reconcileIntervalMs, () => { reconcile() })
          )
        },
        drain: () => claimNode.handOffShards(),
        close () { for (const stop of stopFunctions) stop() }
      }
    }
  })
}
