/** Claim shards of this process's service: control handlers, documents and the platform around the claim logic. */
import { definePlugin, type Plugin } from '@buckthorndrift/kernel'
import { claimLayoutOf, claimsName, documentsKey, membershipKey, objectStoreKey, type Documents, type Membership, type ObjectStore } from '@buckthorndrift/coordination'
import { ClaimNode, type ClaimLayout, type ClaimProcess, type LayoutWrite } from '@buckthorndrift/policy'
import type { Member } from '@buckthorndrift/protocol'
import type { EndpointSettings } from '../shared/endpointSettings.ts'
import { controlPartsKey, peersKey } from '../shared/services.ts'

/** Interval at which due changes of owners and witnesses are looked for, in ms. */
const tendIntervalMs = 1000

function processOf (member: Member): ClaimProcess {
  const { id, incarnation, controlUrl, vm, failureDomain } = member
  return { id, incarnation, url: controlUrl, vm, failureDomain }
}

/** Gone for good: its slot runs a later life, or its VM is off the platform's list. */
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
      const peers = context.use(peersKey)
      const name = claimsName(settings.service)
      const node = new ClaimNode({
        service: settings.service,
        self: processOf(membership.self),
        shards: settings.claimShards,
        retentionMs: settings.claimRetentionMs,
        limit: settings.claimsLimit,
        ports: {
          nowMs: () => timers.monotonicMs(),
          send: (witness, copy) => peers.endpoint(witness.url).claims.replicate.mutate(copy).catch(() => undefined),
          read: async () => {
            const stored = await documents.refresh(name)
            if (stored.isErr()) return undefined
            return { version: stored.value?.version ?? 0, layout: claimLayoutOf(stored.value?.value) }
          },
          write: (layout, expectedVersion) => writeLayout(name, layout, expectedVersion, store, documents),
          processes: () => membership.endpoints(settings.service).filter(member => !member.leaving).map(processOf),
          isGone: process => isGone(process, membership, store),
          onChange: (kind, shards) => { log.event(kind === 'lost' ? 'claimsLost' : 'claimsTakenOver', { shards }) }
        }
      })
      let isTending = false
      async function tend (): Promise<void> {
        if (isTending) return
        isTending = true
        await node.reconcile().finally(() => { isTending = false })
      }
      function learn (): void {
        const stored = documents.get(name)
        if (stored !== undefined) node.applyLayout({ version: stored.version, layout: claimLayoutOf(stored.value) })
      }
      context.use(controlPartsKey).set('claims', {
        claim: input => node.claim(input),
        replicate: async input => node.replicate(input),
        async takeOver ({ shard, epoch }) {
          if (!await node.takeOver(shard, epoch)) throw new Error('the shard cannot be taken over now')
        }
      })
      const stops: (() => void)[] = []
      return {
        async ready () {
          learn()
          await tend()
          stops.push(
            documents.subscribe(name, learn),
            membership.subscribe(() => { tend() }),
            timers.every(tendIntervalMs, () => { tend() })
          )
        },
        drain: () => node.handOffShards(),
        close () { for (const stop of stops) stop() }
      }
    }
  })
}
