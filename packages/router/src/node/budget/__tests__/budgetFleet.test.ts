import { createServer, type Server } from 'node:http'
import { type AddressInfo } from 'node:net'
import { H3, toNodeHandler } from 'h3'
import { afterEach, describe, expect, it } from 'vitest'
import { definePlugin, silentLog, silentMetrics, startKernel, SystemTimers, type Kernel } from '@buckthorndrift/kernel'
import {
  createStoredBudget, documentsKey, membershipKey, MemoryObjects, MemoryObjectStore, memberListName, objectStoreKey, readBudget,
  type DepartedEndpoint, type Documents, type Membership
} from '@buckthorndrift/coordination'
import { handoverName, homesOf, shardOf, type FenceEntry } from '@buckthorndrift/policy'
import { createControlHandler, createEndpointControl, createRouterControl, type BudgetHandlers, type Member, type Reservation } from '@buckthorndrift/protocol'
import { budgetServiceKey, controlRegistryKey, createBudgetPlugin, type BudgetService } from '../../../index.ts'

const fleet = { fleetSecret: 'secret', controlTimeoutMs: 500 }
const unexpected = async (): Promise<never> => { throw new Error('not used') }

interface RunningRouter {
  readonly member: Member
  readonly budgets: BudgetService
  readonly kernel: Kernel
  readonly server: Server
}

const createPlatform = () => ({ all: new MemoryObjects(), timers: new SystemTimers() })

class TestFleet {
  readonly platformObjects = createPlatform().all
  readonly timers = new SystemTimers()
  readonly store = new MemoryObjectStore({ timers: this.timers, objects: this.platformObjects })
  readonly routers: RunningRouter[] = []
  readonly servers: Server[] = []
  readonly suspected = new Set<string>()
  readonly listeners = new Set<() => void>()
  readonly fenced: string[] = []
  readonly forgotten: string[] = []
  entries: FenceEntry[] = []
  members: Member[] = []
  departed: DepartedEndpoint[] = []

  async listen (handle: (request: Request) => Promise<Response>): Promise<readonly [Server, string]> {
    const server = createServer(toNodeHandler(new H3().all('/trpc/**', event => handle(event.req))))
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    this.servers.push(server)
    return [server, `http://127.0.0.1:${(server.address() as AddressInfo).port}`]
  }

  async startEndpoint (): Promise<void> {
    const control = createEndpointControl({
      slices: {
        fence: async ({ holder }) => {
          this.fenced.push(holder)
          return { endpointId: 'e1', incarnation: 'a', entries: this.entries }
        },
        forget: async ({ holder }) => { this.forgotten.push(holder) }
      },
      records: { acknowledge: unexpected },
      claims: { claim: unexpected, replicate: unexpected, takeOver: unexpected },
      lifecycle: { drain: unexpected, order: unexpected }
    })
    const [, controlUrl] = await this.listen(createControlHandler(control, fleet.fleetSecret))
    await this.register({ id: 'e1', incarnation: 'a', role: 'endpoint', vm: 'e1', failureDomain: 'd1', controlUrl, leaving: false })
  }

  async startRouter (id: string, failureDomain: string): Promise<void> {
    let budget: BudgetHandlers | undefined
    const handlers: BudgetHandlers = {
      reserve: input => budget?.reserve(input) ?? unexpected(),
      settle: input => budget?.settle(input) ?? unexpected(),
      recall: input => budget?.recall(input) ?? unexpected(),
      settledSeq: input => budget?.settledSeq(input) ?? unexpected()
    }
    const control = createRouterControl({
      budget: handlers,
      documents: { exchange: unexpected },
      records: { replicateAccounts: unexpected, handOver: unexpected },
      evidence: { reportCrash: unexpected, reportOutcomes: unexpected }
    })
    const [server, controlUrl] = await this.listen(createControlHandler(control, fleet.fleetSecret))
    const member: Member = { id, incarnation: 'a', role: 'router', vm: id, failureDomain, controlUrl, leaving: false }
    await this.register(member)
    const base = definePlugin({
      name: 'base',
      setup: context => {
        context.provide(objectStoreKey, new MemoryObjectStore({ timers: this.timers, objects: this.platformObjects }))
        context.provide(membershipKey, this.#membershipOf(member))
        context.provide(documentsKey, { get: () => undefined, subscribe: () => () => {}, learn () {}, refresh: unexpected } as Documents)
        context.provide(controlRegistryKey, { register (_part, given) { budget = given as unknown as BudgetHandlers } })
        return {}
      }
    })
    const kernel = await startKernel({
      timers: this.timers, log: silentLog, metrics: silentMetrics, plugins: [base, createBudgetPlugin({ fleet, limits: { flushMs: 100 }, reclaimLimits: { reclaimAskMs: 50 } })]
    })
    this.routers.push({ member, budgets: kernel.use(budgetServiceKey), kernel, server })
  }

  /** Kills a router: its listener closes and it leaves the registry without a drain. */
  async kill (id: string): Promise<void> {
    const router = this.routers.find(({ member }) => member.id === id)
    router?.server.closeAllConnections()
    router?.server.close()
    this.routers.splice(this.routers.findIndex(({ member }) => member.id === id), 1)
    this.members = this.members.filter(member => member.id !== id)
    await this.#writeMembers()
  }

  async register (member: Member): Promise<void> {
    this.members.push(member)
    this.platformObjects.vms = this.members.map(({ vm }) => ({ vm, state: 'live' }))
    await this.#writeMembers()
  }

  async #writeMembers (): Promise<void> {
    const name = memberListName('all')
    const present = (await this.store.read(name)).unwrap()
    await this.store.write(name, { members: this.members, departed: this.departed }, present?.version ?? 0)
    for (const listener of this.listeners) listener()
  }

  #membershipOf (self: Member): Membership {
    const routers = (filter?: { readonly failureDomain?: string, readonly isReachable?: boolean }) => this.members.filter(member => member.role === 'router' &&
      (filter?.failureDomain === undefined || member.failureDomain === filter.failureDomain) &&
      (filter?.isReachable !== true || !this.suspected.has(member.id)))
    return {
      self,
      routers,
      endpoints: () => this.members.filter(member => member.role === 'endpoint'),
      noteUnreachable: id => { this.suspected.add(id) },
      noteAlive: id => { this.suspected.delete(id) },
      isSuspected: id => this.suspected.has(id),
      subscribe: listener => {
        this.listeners.add(listener)
        return () => { this.listeners.delete(listener) }
      }
    }
  }

  /** Id of the collector, the router at which all routers reserve while a budget has few requests. */
  collectorOf (budget: string): string {
    const routers = this.routers.map(({ member }) => member)
    return homesOf(shardOf(budget, 16), 'd1', routers).collector ?? ''
  }

  routerOtherThan (id: string): RunningRouter {
    return this.routers.find(({ member }) => member.id !== id) as RunningRouter
  }
}

describe('budgets of several routers', () => {
  let testFleet: TestFleet

  afterEach(() => { for (const server of testFleet.servers) { server.closeAllConnections(); server.close() } })

  async function start (): Promise<TestFleet> {
    testFleet = new TestFleet()
    for (const [id, domain] of [['r1', 'd1'], ['r2', 'd2'], ['r3', 'd2']] as const) await testFleet.startRouter(id, domain)
    await testFleet.startEndpoint()
    await createStoredBudget(testFleet.store, { budget: 'b1', organisation: 'o1', grantedTokens: 1000, operationId: 'op1' })
    return testFleet
  }

  it('reserves for all routers at one home router, because tokens split over several slices could not serve large requests', async () => {
    const { routers, store, collectorOf } = await start()
    const home = collectorOf.call(testFleet, 'b1')
    const answers = await Promise.all(routers.flatMap(({ budgets }) => [1, 2, 3].map(() => budgets.reserve('b1', 100, 2000))))
    expect(answers.map(answer => answer.unwrap().reservation.holder)).toEqual(Array(9).fill(`${home}.a`))
    expect((await readBudget(store, 'b1')).unwrap()?.heldTokens).toBeLessThanOrEqual(1000)
    expect((await testFleet.routerOtherThan(home).budgets.reserve('b1', 200, 2000)).unwrapErr().reason).toBe('budgetExhausted')
  })

  it('settles a reservation with its holder at another router, which can then reserve the unspent tokens again', async () => {
    const { store } = await start()
    const { budgets } = testFleet.routerOtherThan(testFleet.collectorOf('b1'))
    const { reservation } = (await budgets.reserve('b1', 900, 2000)).unwrap()
    budgets.settle('b1', reservation, 50)
    await expect.poll(async () => (await readBudget(store, 'b1')).unwrap()?.spentTokens, { timeout: 5000 }).toBe(50)
    expect((await budgets.reserve('b1', 900, 2000)).isOk()).toBe(true)
  })

  it('reserves at another home router after the first one crashed, and counts the tokens that endpoints report as spent', async () => {
    const { store, fenced, forgotten } = await start()
    const home = testFleet.collectorOf('b1')
    const { budgets } = testFleet.routerOtherThan(home)
    const held = [(await budgets.reserve('b1', 300, 2000)).unwrap(), (await budgets.reserve('b1', 200, 2000)).unwrap()]
    const [first] = held.map(({ reservation }): Reservation => reservation)
    testFleet.entries = [{ shard: first?.shard ?? 0, budget: 'b1', seq: first?.seq ?? 0, state: 'settled', tokens: 120 }]
    await testFleet.kill(home)
    // The first attempt may still go to the crashed home router, so the reservation is repeated.
    await expect.poll(async () => (await budgets.reserve('b1', 1, 2000)).isOk(), { timeout: 20_000 }).toBe(true)
    await expect.poll(async () => (await readBudget(store, 'b1')).unwrap()?.spentTokens, { timeout: 20_000 }).toBe(120)
    expect(new Set(fenced)).toEqual(new Set([`${home}.a`]))
    await expect.poll(() => forgotten, { timeout: 5000 }).toContain(`${home}.a`)
    expect((await budgets.reserve('b1', 800, 2000)).isOk()).toBe(true)
  })

  it('counts a slice as wholly spent if an endpoint departed without a handover, because nobody knows which requests that endpoint ran', async () => {
    const { store } = await start()
    const home = testFleet.collectorOf('b1')
    const { budgets } = testFleet.routerOtherThan(home)
    await budgets.reserve('b1', 300, 2000)
    testFleet.departed = [{ id: 'e0', incarnation: 'z' }]
    await testFleet.kill(home)
    await expect.poll(async () => (await budgets.reserve('b1', 1, 2000)).isOk(), { timeout: 20_000 }).toBe(true)
    // No registered endpoint has an entry for the reservation. If the departed endpoint were ignored, the reservation would count as not run.
    await expect.poll(async () => (await readBudget(store, 'b1')).unwrap()?.spentTokens, { timeout: 20_000 }).toBeGreaterThanOrEqual(300)
  })

  it('counts the tokens in the handover of a departed endpoint as spent', async () => {
    const { store } = await start()
    const home = testFleet.collectorOf('b1')
    const { budgets } = testFleet.routerOtherThan(home)
    const { reservation: { shard, seq } } = (await budgets.reserve('b1', 300, 2000)).unwrap()
    testFleet.departed = [{ id: 'e0', incarnation: 'z' }]
    const entries = [{ shard, budget: 'b1', seq, state: 'settled', tokens: 70 }]
    await store.write(handoverName('e0', 'z'), { endpointId: 'e0', incarnation: 'z', holders: { [`${home}.a`]: entries } }, 0)
    await testFleet.kill(home)
    await expect.poll(async () => (await budgets.reserve('b1', 1, 2000)).isOk(), { timeout: 20_000 }).toBe(true)
    await expect.poll(async () => (await readBudget(store, 'b1')).unwrap()?.spentTokens, { timeout: 20_000 }).toBe(70)
  })

  it('reclaims the slices of a crashed home router although no request reserves from its budgets', async () => {
    const { store } = await start()
    const home = testFleet.collectorOf('b1')
    const { reservation } = (await testFleet.routerOtherThan(home).budgets.reserve('b1', 300, 2000)).unwrap()
    testFleet.entries = [{ shard: reservation.shard, budget: 'b1', seq: reservation.seq, state: 'settled', tokens: 30 }]
    // The other routers detect the departure of a router only if they have seen it in the registry before.
    await new Promise(resolve => { setTimeout(resolve, 1500) })
    await testFleet.kill(home)
    await expect.poll(async () => (await readBudget(store, 'b1')).unwrap(), { timeout: 20_000 }).toMatchObject({ spentTokens: 30, heldTokens: 0 })
  })

  it('reserves at another router while the home router drains, although it is still registered', async () => {
    const { store } = await start()
    const home = testFleet.collectorOf('b1')
    const { budgets } = testFleet.routerOtherThan(home)
    const { reservation } = (await budgets.reserve('b1', 100, 2000)).unwrap()
    budgets.settle('b1', reservation, 40)
    await testFleet.routers.find(({ member }) => member.id === home)?.kernel.stop()
    expect((await readBudget(store, 'b1')).unwrap()).toMatchObject({ spentTokens: 40, heldTokens: 0 })
    expect((await budgets.reserve('b1', 100, 2000)).unwrap().reservation.holder).not.toBe(`${home}.a`)
  })
})
