/** Generates random steps of the budget model and applies them. */
import fc from 'fast-check'
import { BudgetModel, type BudgetModelOptions } from './budgetModel.ts'

/** One step: its kind, and two numbers that select the processes, messages or values it acts on. */
export interface Step {
  readonly kind: StepKind
  readonly a: number
  readonly b: number
}

/** Relative frequency of each kind of step: most steps make progress, so that runs reach later states, and some inject faults. */
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
const requestTokenChoices = [1, 10, 30, 45]
const advanceChoicesMs = [20, 300, 1100, 2500, 9000, 25_000]

export const modelOptions: BudgetModelOptions = {
  routers: routerIds,
  endpoints: ['e1', 'e2'],
  shards: 2,
  budgets: { b1: 100, b2: 60, b3: 300 }
}

function stepArbitrary (canLoseEndpoints: boolean): fc.Arbitrary<Step> {
  const kinds = Object.entries(weights).map(([kind, weight]) => ({ weight, arbitrary: fc.constant(kind as StepKind) }))
  const endpointLoss = canLoseEndpoints ? [{ weight: 1, arbitrary: fc.constant<StepKind>('loseEndpoint') }] : []
  return fc.record({ kind: fc.oneof(...kinds, ...endpointLoss), a: fc.nat(997), b: fc.nat(997) })
}

/** Random runs. Only a quarter of them can lose endpoints, because the final comparison of ledger and executed tokens is weaker then. */
export const runArbitrary: fc.Arbitrary<readonly Step[]> = fc.oneof(
  { weight: 3, arbitrary: fc.array(stepArbitrary(false), { minLength: 20, maxLength: 300, size: 'max' }) },
  { weight: 1, arbitrary: fc.array(stepArbitrary(true), { minLength: 20, maxLength: 300, size: 'max' }) }
)

function pick<Item> (items: readonly Item[], index: number): Item | undefined {
  return items[index % Math.max(1, items.length)]
}

/** Applies one step. A step without a matching process, message or request has no effect. */
export function applyStep (model: BudgetModel, step: Step): void {
  const router = pick([...model.routers.values()], step.a)
  const endpoint = pick([...model.endpoints.values()], step.b)
  switch (step.kind) {
    case 'request': {
      const home = pick([...model.routers.values()], step.b)
      const budget = pick(model.budgets, step.a + step.b)
      if (router === undefined || home === undefined || budget === undefined || router.isDraining) return
      const target = pick([...model.endpoints.keys()], step.a >> 2)
      if (target !== undefined) router.request(budget, pick(requestTokenChoices, step.b >> 2) ?? 1, home, target)
      return
    }
    case 'deliver': {
      const message = pick(model.network.deliverable, step.a)
      if (message !== undefined) model.network.deliver(message)
      return
    }
    case 'deliverMany':
      model.deliverUpTo(10 + step.a % 40)
      return
    case 'drop': {
      const message = pick(model.network.messages, step.a)
      if (message !== undefined) model.network.drop(message)
      return
    }
    case 'giveUp':
      pick(model.network.messages, step.a)?.giveUp()
      return
    case 'repeat': {
      const message = pick(model.network.deliverable.filter(candidate => candidate.isRepeatable), step.a)
      if (message !== undefined) model.network.deliver(message, true)
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
      router?.resendSettlements()
      return
    case 'advance':
      model.advance(pick(advanceChoicesMs, step.a) ?? 0)
      return
    case 'reclaim': {
      const holder = pick(model.storedHolders, step.b)
      const isAlive = holder !== undefined && model.routerOfHolder(holder) !== undefined
      // For a holder of a live router only one in four of these steps starts a reclaim, so that most runs make progress.
      if (holder !== undefined && (!isAlive || step.a % 4 === 0)) router?.reclaim(holder)
      return
    }
    case 'learnFences':
      router?.learnFences()
      return
    case 'topUp':
      model.topUp(pick(model.budgets, step.a) ?? 'b1', `op${step.b % 5}`, 10 + step.b % 5)
      return
    default:
      applyFault(model, { ...step, kind: step.kind })
  }
}

function applyFault (model: BudgetModel, step: Step): void {
  const ids = [...routerIds, ...model.endpoints.keys()]
  const id = pick(routerIds, step.a) ?? 'r1'
  switch (step.kind) {
    case 'crash':
      // One router always stays, so that slices can be reclaimed at the end.
      if (model.routers.size > 1) model.crashRouter(id)
      return
    case 'restart':
      if (!model.routers.has(id)) model.startRouter(id)
      return
    case 'pause':
      model.network.setUnresponsive(pick(ids, step.a) ?? id, true)
      return
    case 'resume':
      for (const other of ids) if (model.routers.has(other) || model.endpoints.has(other)) model.network.setUnresponsive(other, false)
      return
    case 'cut':
      model.network.setPartitioned(id, pick([...ids, 'store'], step.b) ?? 'store', true)
      return
    case 'heal':
      model.network.healPartitions()
      return
    case 'outage':
      model.store.isDown = true
      return
    case 'outageEnd':
      model.store.isDown = false
      return
    case 'joinEndpoint':
      if (model.endpoints.size < 4) model.joinEndpoint(model.nextEndpointId())
      return
    case 'acceptEndpoint': {
      const endpoint = pick([...model.endpoints.keys()], step.a)
      if (endpoint !== undefined) model.acceptEndpoint(endpoint)
      return
    }
    case 'loseEndpoint': {
      const endpoint = pick([...model.endpoints.keys()], step.a)
      if (endpoint !== undefined && model.endpoints.size > 1) model.loseEndpoint(endpoint)
    }
  }
}

/** Applies all steps and checks the invariants after each, then settles the model and compares the ledger with the executed tokens. */
export function runSteps (steps: readonly Step[]): void {
  const model = new BudgetModel(modelOptions)
  for (const step of steps) {
    applyStep(model, step)
    model.check()
  }
  model.settleAndCheck()
}
