import fc from 'fast-check'
import { afterEach, describe, expect, it } from 'vitest'
import { ManualTimers, silentLog, silentMetrics } from '@buckthorndrift/kernel'
import type { Member } from '@buckthorndrift/protocol'
import { randomFrom } from '@buckthorndrift/standins'
import {
  defaultDocumentsTuning, defaultLeaseTuning, defaultVmListTuning, documentPrefixes, DocumentsService, membersOf, MembershipService, MemoryObjects,
  MemoryObjectStore, Suspicions, VmAbsences, type ListedVm, type MemoryStoreFault
} from '../../index.ts'
import { departedMemoryMs } from '../departedEndpoints.ts'
import { LeasesService } from '../leases.ts'
import { departedEndpointsOf, withMember, withoutDeparted, withoutMember, withVmStates } from '../memberList.ts'
import { VmListDuty } from '../vmListDuty.ts'
import { flush, settle } from './settle.ts'

function router (id: string, incarnation = '1'): Member {
  return { id, incarnation, role: 'router', vm: `vm-${id}`, failureDomain: 'd', controlUrl: `${id}.${incarnation}`, leaving: false }
}

class Registry {
  readonly timers = new ManualTimers()
  readonly objects = new MemoryObjects()
  readonly documents = new Map<string, DocumentsService>()
  readonly random = randomFrom(11)
  faultOf: () => MemoryStoreFault = () => 'none'

  async start (self: Member) {
    const { timers, random } = this
    const store = new MemoryObjectStore({ timers, objects: this.objects, faultOf: () => this.faultOf(), delayMs: () => 4, lateMs: 40 })
    const suspicions = new Suspicions(timers, 10_000)
    const documents = new DocumentsService({
      self,
      store,
      timers,
      log: silentLog,
      metrics: silentMetrics,
      suspicions,
      random,
      prefixes: documentPrefixes,
      tuning: defaultDocumentsTuning,
      call: async (peer, input) => {
        const target = this.documents.get(peer.controlUrl)
        if (target === undefined) throw new Error('no answer')
        return target.answer(structuredClone(input))
      }
    })
    const membership = new MembershipService({ self, documents, store, suspicions, timers, log: silentLog, random, deregisterMs: 3000 })
    const leases = new LeasesService({ membership, store, timers, log: silentLog, random, tuning: defaultLeaseTuning })
    this.documents.set(self.controlUrl, documents)
    await this.until(documents.start())
    await this.until(membership.register())
    const stop = async (): Promise<void> => {
      await this.until(membership.deregister())
      documents.stop()
      this.documents.delete(self.controlUrl)
    }
    const duty = (): VmListDuty => new VmListDuty({ lease: leases.campaign('vmList'), store, documents, timers, log: silentLog, random, tuning: defaultVmListTuning })
    return { self, store, documents, membership, suspicions, duty, stop }
  }

  until<Value> (promise: Promise<Value>): Promise<Value> {
    return settle(this.timers, promise)
  }

  async run (durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 50) {
      for (let turn = 0; turn < 4; turn += 1) await flush()
      this.timers.advance(50)
    }
  }

  registered (): readonly string[] {
    const entry = this.objects.entries.get('members/d')
    if (entry === undefined) return []
    return membersOf({ name: 'members/d', version: entry.version, value: JSON.parse(entry.text) }).map(member => `${member.id}.${member.incarnation}`).sort()
  }

  list (...vms: ListedVm[]): void {
    this.objects.vms = vms
  }
}

describe('membership', () => {
  it('shows exactly the running processes, whatever calls are lost, late or refused', async () => {
    const fault = fc.constantFrom<MemoryStoreFault>('none', 'none', 'none', 'lostRequest', 'lostReply', 'lateRequest', 'unavailable')
    const steps = fc.array(fc.record({ id: fc.constantFrom('a', 'b', 'c'), action: fc.constantFrom('start', 'restart', 'stop') }), { maxLength: 8 })
    await fc.assert(fc.asyncProperty(steps, fc.infiniteStream(fault), async (actions, faults) => {
      const registry = new Registry()
      const running = new Map<string, Awaited<ReturnType<Registry['start']>>>()
      let incarnation = 0
      for (const { id, action } of actions) {
        registry.faultOf = () => faults.next().value ?? 'none'
        const present = running.get(id)
        if (action === 'stop') {
          // Deregistration gives up in an outage, so this one is left without faults.
          registry.faultOf = () => 'none'
          await present?.stop()
          running.delete(id)
        } else if (action === 'restart' || present === undefined) {
          incarnation += 1
          present?.documents.stop()
          running.set(id, await registry.start(router(id, String(incarnation))))
        }
      }
      registry.faultOf = () => 'none'
      await registry.run(20_000)
      expect(registry.registered()).toEqual([...running.values()].map(({ self }) => `${self.id}.${self.incarnation}`).sort())
    }), { numRuns: 40 })
  })

  it('registers again after it was removed, but never against a newer incarnation', async () => {
    const registry = new Registry()
    const old = await registry.start(router('a', '1'))
    const entry = registry.objects.entries.get('members/d')
    await registry.until(old.store.write('members/d', { members: [] }, entry?.version ?? 0))
    await registry.run(3000)
    expect(registry.registered()).toEqual(['a.1'])
    await registry.start(router('a', '2'))
    await registry.run(10_000)
    expect(registry.registered()).toEqual(['a.2'])
    await old.stop()
    expect(registry.registered()).toEqual(['a.2'])
  })

  it('leaves suspected routers out until there is contact or a pause without evidence', async () => {
    const registry = new Registry()
    const first = await registry.start(router('a'))
    await registry.start(router('b'))
    await registry.run(3000)
    let changes = 0
    first.membership.subscribe(() => { changes += 1 })
    const reachable = (): readonly string[] => first.membership.routers({ isReachable: true }).map(({ id }) => id)
    first.membership.noteUnreachable('b')
    expect([reachable(), first.membership.routers().length, changes]).toEqual([['a'], 2, 1])
    first.membership.noteAlive('b')
    expect([reachable(), changes]).toEqual([['a', 'b'], 2])
    first.membership.noteUnreachable('b')
    first.membership.noteUnreachable('a')
    registry.timers.advance(10_000)
    expect(reachable()).toEqual(['a', 'b'])
  })

  it('notes endpoint processes that leave the registry, however they do, and forgets them when told', () => {
    const endpoint = (id: string, incarnation = '1'): Member => ({ ...router(id, incarnation), role: 'endpoint' })
    const store = (value: unknown) => ({ name: 'members/d', version: 1, value })
    let list = store(withMember(undefined, endpoint('e1')))
    list = store(withMember(list, endpoint('e2')))
    list = store(withMember(list, router('r1')))
    list = store(withMember(list, endpoint('e1', '2')))
    list = store(withVmStates(list, new Set(['vm-e2', 'vm-r1']), new Set()))
    list = store(withoutMember(list, endpoint('e1', '2')))
    const keys = () => departedEndpointsOf(list).map(({ id, incarnation }) => `${id}.${incarnation}`)
    expect(keys()).toEqual(['e1.1', 'e2.1', 'e1.2'])
    list = store(withMember(list, endpoint('e1', '2')))
    expect(keys()).toEqual(['e1.1', 'e2.1'])
    list = store(withoutDeparted(list, [{ id: 'e1', incarnation: '1' }]))
    expect(keys()).toEqual(['e2.1'])
  })

  it('forgets a departed endpoint process and its handover after two hours, not before', async () => {
    const registry = new Registry()
    const only = await registry.start(router('a'))
    const { store, documents } = only
    const lease = { fencingToken: () => 1, release: async () => {} }
    const duty = new VmListDuty({ lease, store, documents, timers: registry.timers, log: silentLog, random: registry.random, tuning: defaultVmListTuning })
    registry.list({ vm: 'vm-a', state: 'live' })
    const present = registry.objects.entries.get('members/d')
    const members = JSON.parse(present?.text ?? '{}') as Record<string, unknown>
    await registry.until(store.write('members/d', { ...members, departed: [{ id: 'e1', incarnation: '1' }] }, present?.version ?? 0))
    await registry.until(store.write('handovers/e1.1', { endpointId: 'e1', incarnation: '1', holders: {} }, 0))
    const isRemembered = () => registry.objects.entries.has('handovers/e1.1') || (registry.objects.entries.get('members/d')?.text ?? '').includes('"e1"')
    await registry.run(60_000)
    expect(isRemembered()).toBe(true)
    registry.timers.advance(departedMemoryMs)
    await registry.run(10_000)
    expect(isRemembered()).toBe(false)
    duty.stop()
  })

  it('shows a process as leaving to the others before it is gone, so that they stop choosing it', async () => {
    const registry = new Registry()
    const first = await registry.start(router('a'))
    const second = await registry.start(router('b'))
    await registry.until(second.membership.announceLeaving())
    await registry.run(3000)
    expect(first.membership.routers().map(({ id, leaving }) => [id, leaving])).toEqual([['a', false], ['b', true]])
    expect(registry.registered()).toEqual(['a.1', 'b.1'])
  })
})

describe('list of VMs', () => {
  let duties: VmListDuty[] = []
  afterEach(() => {
    for (const duty of duties) duty.stop()
    duties = []
  })

  it('marks members of leaving VMs within 3 s and removes those of VMs that are gone', async () => {
    const registry = new Registry()
    const processes = [await registry.start(router('a')), await registry.start(router('b')), await registry.start(router('c'))]
    duties = processes.map(({ duty }) => duty())
    registry.list({ vm: 'vm-a', state: 'live' }, { vm: 'vm-b', state: 'live' }, { vm: 'vm-c', state: 'live' })
    await registry.run(8000)
    registry.list({ vm: 'vm-a', state: 'live' }, { vm: 'vm-b', state: 'leaving' }, { vm: 'vm-c', state: 'live' })
    await registry.run(3000)
    const leavingAt = (index: number): readonly string[] => processes[index]?.membership.routers().filter(({ leaving }) => leaving).map(({ id }) => id) ?? []
    expect([leavingAt(0), leavingAt(2)]).toEqual([['b'], ['b']])
    processes[1]?.documents.stop()
    registry.documents.delete('b.1')
    registry.list({ vm: 'vm-a', state: 'live' }, { vm: 'vm-c', state: 'live' })
    await registry.run(15_000)
    expect(registry.registered()).toEqual(['a.1', 'c.1'])
    // One holder reads the list; candidates only read the lease.
    expect(processes.filter(({ store }) => store.counters.vms > 5)).toHaveLength(1)
  })

  it('keeps all members while the list is empty, which is a fault of the platform', async () => {
    const registry = new Registry()
    const only = await registry.start(router('a'))
    duties = [only.duty()]
    await registry.run(90_000)
    expect(only.store.counters.vms).toBeGreaterThan(50)
    expect(registry.registered()).toEqual(['a.1'])
  })

  it('takes a VM for gone only after it was off the list for long enough, longer when it was never on it', () => {
    const absences = new VmAbsences(defaultVmListTuning)
    const listed = new Set(['seen'])
    expect([...absences.gone(['seen', 'new'], listed, 0)]).toEqual([])
    expect([...absences.gone(['seen', 'new'], new Set(['other']), 1000)]).toEqual([])
    expect([...absences.gone(['seen', 'new'], new Set(['other']), 10_000)]).toEqual([])
    expect([...absences.gone(['seen', 'new'], listed, 10_500)]).toEqual([])
    expect([...absences.gone(['seen', 'new'], new Set(['other']), 11_000)]).toEqual([])
    expect([...absences.gone(['seen', 'new'], new Set(['other']), 21_000)]).toEqual(['seen'])
    expect([...absences.gone(['seen', 'new'], new Set(['other']), 60_000)].sort()).toEqual(['new', 'seen'])
  })
})
