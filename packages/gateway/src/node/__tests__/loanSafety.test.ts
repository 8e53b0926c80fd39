import { Err, Ok } from 'ts-results-es'
import { describe, expect, it } from 'vitest'
import { silentLog, SystemTimers } from '@buckthorndrift/kernel'
import { randomFrom } from '@buckthorndrift/standins'
import type { FleetStore, StoredObject } from '../../shared/store.ts'
import { StoreOutage } from '../../shared/storeOutage.ts'
import type { LoanClient } from '../loanClient.ts'
import { unlimitedReleases } from './unlimitedReleases.ts'
import { OrganisationLedger } from '../organisationLedger.ts'

const prepaidTokens = 20_000
const routers = 4
const rounds = 150
const latestDeliveryMs = 30

/** Factor by which the clock runs faster, so that retry delays after failed messages expire often within a short test. */
const speedUp = 100

class FastTimers extends SystemTimers {
  override monotonicMs (): number {
    return super.monotonicMs() * speedUp
  }
}

/** A store with conditional writes. Some writes take effect but get no response. */
function createStore (random: () => number): FleetStore {
  let object: StoredObject | undefined
  const maybeLose = <Value>(reply: Value): Value | ReturnType<typeof unavailable> => random() < 0.05 ? unavailable() : reply
  const unavailable = () => Err({ kind: 'unavailable', mayHaveApplied: true, detail: 'lost' } as const)
  const write = (value: unknown): StoredObject => { object = { name: 'firm', revision: (object?.revision ?? 0) + 1, value, status: null }; return object }
  return {
    era: () => 0,
    onRestored: () => () => {},
    list: () => Promise.resolve(Ok({ objects: [], revision: 1 })),
    watch: () => Promise.resolve(Ok({ events: [], revision: 1 })),
    read: () => Promise.resolve(object === undefined ? Err({ kind: 'notFound' }) : Ok(object)),
    create: (_kind, _name, value) => Promise.resolve(object === undefined ? maybeLose(Ok(write(value))) : Err({ kind: 'conflict', object })),
    replace: (_kind, _name, value, revision) => Promise.resolve(object?.revision === revision ? maybeLose(Ok(write(value))) : Err({ kind: 'conflict', object })),
    replaceStatus: () => Promise.resolve(Err({ kind: 'notFound' })),
    remove: () => Promise.resolve(Err({ kind: 'notFound' }))
  }
}

/** A loan client that loses some requests, loses some responses, and delivers some requests only after the borrower stopped waiting for the response. */
function createClient (random: () => number, ledgers: ReadonlyMap<string, OrganisationLedger>): LoanClient {
  return {
    async requestLoan (address, request) {
      const ledger = ledgers.get(address)
      const outcome = random()
      if (ledger === undefined || outcome < 0.05) return Err({ kind: 'unreachable', detail: 'the request was lost' })
      if (outcome < 0.15) {
        setTimeout(() => { void ledger.lend(request) }, random() * latestDeliveryMs)
        return Err({ kind: 'unreachable', detail: 'the request is delayed' })
      }
      const reply = await ledger.lend(request)
      return outcome < 0.25 ? Err({ kind: 'unreachable', detail: 'the response was lost' }) : Ok(reply)
    },
    close: () => Promise.resolve()
  }
}

/** The store as a router sees it that is cut off now and then. */
function cutOff (store: FleetStore, isCut: () => boolean): FleetStore {
  const away = () => Promise.resolve(Err({ kind: 'unavailable', mayHaveApplied: false, detail: 'cut off' } as const))
  return {
    ...store,
    read: (kind, name, options) => isCut() ? away() : store.read(kind, name, options),
    create: (kind, name, value) => isCut() ? away() : store.create(kind, name, value),
    replace: (kind, name, value, revision) => isCut() ? away() : store.replace(kind, name, value, revision)
  }
}

interface Spending {
  readonly spentTokens: number
  readonly lentRequests: number
  readonly peerLoans: number
}

/** `cutShare` is the part of the routers that is cut off from the store at any time, in turn. */
async function spendConcurrently (seed: number, cutShare = 0): Promise<Spending> {
  const random = randomFrom(seed)
  const store = createStore(random)
  const ledgers = new Map<string, OrganisationLedger>()
  const client = createClient(random, ledgers)
  const timers = new FastTimers()
  let peerLoans = 0
  let cutTurn = 0
  const turns = setInterval(() => { cutTurn++ }, 40)
  const isCut = (index: number): boolean => (index + cutTurn) % routers < cutShare * routers
  for (let index = 0; index < routers; index++) {
    const address = `router-${index}:1`
    ledgers.set(address, new OrganisationLedger('firm', prepaidTokens, {
      storePeers: {
        current: undefined,
        recordFailure: () => {},
        find: () => {
          peerLoans++
          const peer = (index + 1 + Math.floor(random() * (routers - 1))) % routers
          return Promise.resolve({ holder: `router-${peer}.1`, address: `router-${peer}:1` })
        }
      },
      store: cutOff(store, () => isCut(index)),
      timers,
      log: silentLog,
      holder: `router-${index}.1`,
      nodeName: `router-${index}`,
      random,
      ...unlimitedReleases,
      outage: new StoreOutage(random),
      loans: { address, client }
    }))
  }
  const routerLedgers = [...ledgers.values()]
  let spentTokens = 0
  let lentRequests = 0
  await Promise.all(routerLedgers.map(async (ledger, router) => {
    for (let round = 0; round < rounds; round++) {
      const tokens = 20 + Math.floor(random() * 80)
      const reservation = await ledger.reserve({ attemptId: `${router}-${round}`, tokens, rank: round % 3, maxWaitMs: 50 })
      if (round % 20 === 0) ledger.update()
      await new Promise(resolve => { setTimeout(resolve, random() * 8) })
      if (reservation.kind !== 'reserved') continue
      if (router > 0) lentRequests++
      // Some requests consume less than they reserved.
      const consumed = random() < 0.5 ? tokens : Math.floor(tokens * random())
      spentTokens += consumed
      reservation.settle(consumed)
    }
  }))
  clearInterval(turns)
  return { spentTokens, lentRequests, peerLoans }
}

describe('loans between routers', () => {
  it.each([1, 2, 3, 4, 5, 6, 7, 8])('never overspend the budget when messages are lost or delayed (seed %i)', async seed => {
    const { spentTokens, lentRequests } = await spendConcurrently(seed)
    expect(spentTokens).toBeLessThanOrEqual(prepaidTokens)
    // Lost and delayed messages must not make more than half of the budget unusable.
    expect(spentTokens).toBeGreaterThan(prepaidTokens * 0.5)
    expect(lentRequests).toBeGreaterThan(0)
  })

  it.each([11, 12, 13, 14])('never overspend the budget when routers that are cut off from the store borrow through others (seed %i)', async seed => {
    const { spentTokens, peerLoans } = await spendConcurrently(seed, 0.5)
    expect(spentTokens).toBeLessThanOrEqual(prepaidTokens)
    expect(peerLoans).toBeGreaterThan(0)
  })
})
