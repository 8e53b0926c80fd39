/** Replays recorded traces of the budget model. packages/bench/traces/README.md describes the format. */
import { freeTokens, shardOf } from '@buckthorndrift/policy'
import { BudgetModel, type BudgetModelOptions } from './budgetModel.ts'
import type { Message } from './network.ts'

/** A line of the trace is malformed, its step fails, or the model is not in the state that the line expects. */
export class TraceError extends Error {
  override readonly name = 'TraceError'
}

type TraceLine = Readonly<Record<string, unknown>>

function readString (line: TraceLine, field: string): string {
  const value = line[field]
  if (typeof value !== 'string') throw new TraceError(`field "${field}" must be a string`)
  return value
}

function readNumber (line: TraceLine, field: string): number {
  const value = line[field]
  if (typeof value !== 'number') throw new TraceError(`field "${field}" must be a number`)
  return value
}

function createMatcher (line: TraceLine): (message: Message) => boolean {
  return message => (['kind', 'from', 'to'] as const).every(field => line[field] === undefined || line[field] === message[field])
}

function findMessage (model: BudgetModel, line: TraceLine): Message {
  const message = model.network.messages.find(createMatcher(line))
  if (message !== undefined) return message
  throw new TraceError(`no message matches; messages in flight: ${model.network.messages.map(({ kind, from, to }) => `${kind} ${from}-${to}`).join(', ')}`)
}

function findProcess<Process> (processes: ReadonlyMap<string, Process>, id: string): Process {
  const found = processes.get(id)
  if (found === undefined) throw new TraceError(`process "${id}" does not exist`)
  return found
}

type Action = (model: BudgetModel, line: TraceLine) => void

const actions: Readonly<Record<string, Action>> = {
  request: (model, line) => {
    findProcess(model.routers, readString(line, 'router')).request(readString(line, 'budget'), readNumber(line, 'tokens'), findProcess(model.routers, readString(line, 'home')), readString(line, 'endpoint'))
  },
  deliver: (model, line) => { model.deliverUpTo(line.count === undefined ? Infinity : readNumber(line, 'count'), createMatcher(line)) },
  drop: (model, line) => { model.network.drop(findMessage(model, line)) },
  giveUp: (model, line) => { findMessage(model, line).giveUp() },
  repeat: (model, line) => { model.network.deliver(findMessage(model, line), true) },
  finish: (model, line) => {
    const endpoint = findProcess(model.endpoints, readString(line, 'endpoint'))
    const [requestId] = endpoint.running
    if (requestId === undefined) throw new TraceError('no request is running at the endpoint')
    endpoint.finish(requestId, readNumber(line, 'tokens'))
  },
  advance: (model, line) => { model.advance(readNumber(line, 'ms')) },
  crash: (model, line) => { model.crashRouter(readString(line, 'router')) },
  restart: (model, line) => { model.startRouter(readString(line, 'router')) },
  pause: (model, line) => { model.network.setUnresponsive(readString(line, 'process'), true) },
  resume: (model, line) => { model.network.setUnresponsive(readString(line, 'process'), false) },
  cut: (model, line) => { model.network.setPartitioned(readString(line, 'a'), readString(line, 'b'), true) },
  heal: model => { model.network.healPartitions() },
  outage: (model, line) => { model.store.isDown = line.isOver !== true },
  topUp: (model, line) => { model.topUp(readString(line, 'budget'), readString(line, 'operationId'), readNumber(line, 'tokens')) },
  reclaim: (model, line) => { findProcess(model.routers, readString(line, 'router')).reclaim(readString(line, 'holder')) },
  learnFences: (model, line) => { findProcess(model.routers, readString(line, 'router')).learnFences() },
  loseEndpoint: (model, line) => { model.loseEndpoint(readString(line, 'endpoint')) },
  joinEndpoint: (model, line) => { model.joinEndpoint(readString(line, 'endpoint')) },
  acceptEndpoint: (model, line) => { model.acceptEndpoint(readString(line, 'endpoint')) },
  account: model => { model.settleAndCheck() }
}

/** Returns the state of a budget under the field names of `expect` lines. */
export function readBudgetState (model: BudgetModel, budget: string): Readonly<Record<string, unknown>> {
  const entry = model.store.currentShard(shardOf(budget, model.shards)).budgets.get(budget)
  if (entry === undefined) throw new TraceError(`budget "${budget}" does not exist`)
  return {
    grantedTokens: entry.grantedTokens,
    spentTokens: entry.spentTokens,
    freeTokens: freeTokens(entry),
    ranTokens: model.groundTruth.executedTokens(budget),
    caps: Object.fromEntries(entry.slices.map(slice => [slice.holder, slice.capTokens])),
    running: [...model.endpoints.values()].reduce((sum, endpoint) => sum + endpoint.running.length, 0)
  }
}

function checkBudgetState (model: BudgetModel, line: TraceLine): void {
  const state = readBudgetState(model, readString(line, 'expect'))
  for (const [field, expected] of Object.entries(line)) {
    if (field === 'expect') continue
    if (!Object.hasOwn(state, field)) throw new TraceError(`unknown field "${field}"`)
    const found = JSON.stringify(state[field])
    if (found !== JSON.stringify(expected)) throw new TraceError(`${field} is ${found}, expected ${JSON.stringify(expected)}`)
  }
}

function applyLine (model: BudgetModel, line: TraceLine): void {
  if (line.expect !== undefined) return checkBudgetState(model, line)
  const name = readString(line, 'do')
  const action = Object.hasOwn(actions, name) ? actions[name] : undefined
  if (action === undefined) throw new TraceError(`unknown step "${name}"`)
  action(model, line)
  model.check()
}

/** Replays a trace; throws `TraceError` with the number of the first line that fails. */
export function replayTrace (text: string): void {
  const lines = text.split('\n').map((line, index) => ({ line, number: index + 1 })).filter(({ line }) => line.trim() !== '')
  let model: BudgetModel | undefined
  for (const { line, number } of lines) {
    try {
      const parsed = JSON.parse(line) as TraceLine
      if (model === undefined) model = new BudgetModel(parsed.world as BudgetModelOptions)
      else applyLine(model, parsed)
    } catch (error) {
      throw new TraceError(`line ${number}: ${error instanceof Error ? error.message : String(error)}`)
    }
  }
}
