/** Random steps of the budget model. */
import fc from 'fast-check'
import { BudgetWorld, type WorldOptions } from './budgetWorld.ts'

/** One step: what is done, and numbers that choose the parts concerned. */
export interface Step {
  readonly kind: StepKind
  readonly a: number
  readonly b: number
}

/** Weights: enough deliveries to get somewhere, enough faults to get in the way. */
const weights = {
  request: 22,
  deliver: 30,
  deliverMany: 10,
  drop: 2,
  giveUp: 3,
  repeat: 2,
  finish: 12,
  abandon: 2,
  resend: 2,
  advance: 8,
  crash: 1,
  restart: 3,
  pause: 1,
  resume: 3,
  cut: 1,
  heal: 2,
  outage: 1,
  outageEnd: 3,
  topUp: 2,
  reclaim: 3,
  learnFences: 2,
  joinEndpoint: 1,
  acceptEndpoint: 2
}
export type StepKind = keyof typeof weights | 'loseEndpoint'

const routerIds = ['r1', 'r2', 'r3']
const requestTokens = [1, 10, 30, 45]
const pausesMs = [20, 300, 1100, 2500, 9000, 25_000]

export const worldOptions: WorldOptions = {
  routers: routerIds,
  endpoints: ['e1', 'e2'],
  shards: 2,
  budgets: { b1: 100, b2: 60, b3: 300 }
}

function stepArbitrary (isLossy: boolean): fc.Arbitrary<Step> {
  const kinds = Object.entries(weights).map(([kind, weight]) => ({ weight, arbitrary: fc.constant(kind as StepKind) }))
  const lossy = isLossy ? [{ weight: 1, arbitrary: fc.constant<StepKind>('loseEndpoint') }] : []
  return fc.record({ kind: fc.oneof(...kinds, ...lossy), a: fc.nat(997), b: fc.nat(997) })
}

/** Runs; an endpoint is lost only in a quarter of them, because the checks of the accounts are weaker then. */
export const runArbitrary: fc.Arbitrary<readonly Step[]> = fc.oneof(
  { weight: 3, arbitrary: fc.array(stepArbitrary(false), { minLength: 20, maxLength: 300, size: 'max' }) },
  { weight: 1, arbitrary: fc.array(stepArbitrary(true), { minLength: 20, maxLength: 300, size: 'max' }) }
)

function pick<Item> (items: readonly Item[], index: number): Item | undefined {
  return items[index % Math.max(1, items.length)]
}

/** Applies one step; a step that finds nothing to act on has no effect. */
export function applyStep (world: BudgetWorld, step: Step): void {
  const router = pick([...world.routers.values()], step.a)
  const endpoint = pick([...world.endpoints.values()], step.b)
  switch (step.kind) {
    case 'request': {
      const home = pick([...world.routers.values()], step.b)
      const budget = pick(world.budgets, step.a + step.b)
      if (router === undefined || home === undefined || budget === undefined || router.isDraining) return
      const target = pick([...world.endpoints.keys()], step.a >> 2)
      if (target !== undefined) router.request(budget, pick(requestTokens, step.b >> 2) ?? 1, home, target)
      return
    }
    case 'deliver': {
      const message = pick(world.network.deliverable, step.a)
      if (message !== undefined) world.network.deliver(message)
      return
    }
    case 'deliverMany':
      world.deliverSome(10 + step.a % 40)
      return
    case 'drop': {
      const message = pick(world.network.messages, step.a)
      if (message !== undefined) world.network.drop(message)
      return
    }
    case 'giveUp':
      pick(world.network.messages, step.a)?.giveUp()
      return
    case 'repeat': {
      const message = pick(world.network.deliverable.filter(candidate => candidate.isRepeatable), step.a)
      if (message !== undefined) world.network.deliver(message, true)
      return
    }
    case 'finish': {
      const requestId = endpoint === undefined ? undefined : pick(endpoint.running, step.a)
      if (requestId !== undefined) endpoint?.finish(requestId, step.a % 40)
      return
    }
    case 'abandon': {
      const requestId = router === undefined ? undefined : pick([...router.calls.keys()], step.b)
      if (requestId !== undefined) router?.abandon(requestId)
      return
    }
    case 'resend':
      router?.resend()
      return
    case 'advance':
      world.advance(pick(pausesMs, step.a) ?? 0)
      return
    case 'reclaim': {
      const holder = pick(world.storedHolders, step.b)
      const isAlive = holder !== undefined && world.routerOfHolder(holder) !== undefined
      // Healthy holders are suspected too, but seldom, so that most runs get further.
      if (holder !== undefined && (!isAlive || step.a % 4 === 0)) router?.reclaim(holder)
      return
    }
    case 'learnFences':
      router?.learnFences()
      return
    case 'topUp':
      world.topUp(pick(world.budgets, step.a) ?? 'b1', `op${step.b % 5}`, 10 + step.b % 5)
      return
    default:
      applyFault(world, { ...step, kind: step.kind })
  }
}

function applyFault (world: BudgetWorld, step: Step): void {
  const ids = [...routerIds, ...world.endpoints.keys()]
  const id = pick(routerIds, step.a) ?? 'r1'
  switch (step.kind) {
    case 'crash':
      // One router stays, so that slices can be reclaimed at the end.
      if (world.routers.size > 1) world.crashRouter(id)
      return
    case 'restart':
      if (!world.routers.has(id)) world.startRouter(id)
      return
    case 'pause':
      world.network.setSilent(pick(ids, step.a) ?? id, true)
      return
    case 'resume':
      for (const other of ids) if (world.routers.has(other) || world.endpoints.has(other)) world.network.setSilent(other, false)
      return
    case 'cut':
      world.network.setBlocked(id, pick([...ids, 'store'], step.b) ?? 'store', true)
      return
    case 'heal':
      world.network.heal()
      return
    case 'outage':
      world.store.isDown = true
      return
    case 'outageEnd':
      world.store.isDown = false
      return
    case 'joinEndpoint':
      if (world.endpoints.size < 4) world.joinEndpoint(world.nextEndpointId())
      return
    case 'acceptEndpoint': {
      const endpoint = pick([...world.endpoints.keys()], step.a)
      if (endpoint !== undefined) world.acceptEndpoint(endpoint)
      return
    }
    case 'loseEndpoint': {
      const endpoint = pick([...world.endpoints.keys()], step.a)
      if (endpoint !== undefined && world.endpoints.size > 1) world.loseEndpoint(endpoint)
    }
  }
}

/** Runs all steps with a check after each, then accounts for everything. */
export function runSteps (steps: readonly Step[]): void {
  const world = new BudgetWorld(worldOptions)
  for (const step of steps) {
    applyStep(world, step)
    world.check()
  }
  world.settleAndCheck()
}
