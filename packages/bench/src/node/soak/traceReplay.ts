/** Replays recorded traces of the budget model; the format is described in packages/bench/traces/README.md. */
import { freeTokens, shardOf } from '@buckthorndrift/policy'
import { BudgetWorld, type WorldOptions } from './budgetWorld.ts'
import type { Message } from './network.ts'

/** A trace that is malformed or does not end as it states. */
export class TraceError extends Error {
  override readonly name = 'TraceError'
}

type TraceLine = Readonly<Record<string, unknown>>

function textOf (line: TraceLine, field: string): string {
  const value = line[field]
  if (typeof value !== 'string') throw new TraceError(`field "${field}" must be a text`)
  return value
}

function numberOf (line: TraceLine, field: string): number {
  const value = line[field]
  if (typeof value !== 'number') throw new TraceError(`field "${field}" must be a number`)
  return value
}

function matcherOf (line: TraceLine): (message: Message) => boolean {
  return message => (['kind', 'from', 'to'] as const).every(field => line[field] === undefined || line[field] === message[field])
}

function messageOf (world: BudgetWorld, line: TraceLine): Message {
  const message = world.network.messages.find(matcherOf(line))
  if (message !== undefined) return message
  throw new TraceError(`no such message; waiting are ${world.network.messages.map(({ kind, from, to }) => `${kind} ${from}-${to}`).join(', ')}`)
}

function partOf<Part> (parts: ReadonlyMap<string, Part>, id: string): Part {
  const part = parts.get(id)
  if (part === undefined) throw new TraceError(`there is no process "${id}"`)
  return part
}

type Action = (world: BudgetWorld, line: TraceLine) => void

const actions: Readonly<Record<string, Action>> = {
  request: (world, line) => {
    partOf(world.routers, textOf(line, 'router')).request(textOf(line, 'budget'), numberOf(line, 'tokens'), partOf(world.routers, textOf(line, 'home')), textOf(line, 'endpoint'))
  },
  deliver: (world, line) => { world.deliverSome(line.count === undefined ? Infinity : numberOf(line, 'count'), matcherOf(line)) },
  drop: (world, line) => { world.network.drop(messageOf(world, line)) },
  giveUp: (world, line) => { messageOf(world, line).giveUp() },
  repeat: (world, line) => { world.network.deliver(messageOf(world, line), true) },
  finish: (world, line) => {
    const endpoint = partOf(world.endpoints, textOf(line, 'endpoint'))
    const [requestId] = endpoint.running
    if (requestId === undefined) throw new TraceError('nothing runs at the endpoint')
    endpoint.finish(requestId, numberOf(line, 'tokens'))
  },
  advance: (world, line) => { world.advance(numberOf(line, 'ms')) },
  crash: (world, line) => { world.crashRouter(textOf(line, 'router')) },
  restart: (world, line) => { world.startRouter(textOf(line, 'router')) },
  pause: (world, line) => { world.network.setSilent(textOf(line, 'process'), true) },
  resume: (world, line) => { world.network.setSilent(textOf(line, 'process'), false) },
  cut: (world, line) => { world.network.setBlocked(textOf(line, 'a'), textOf(line, 'b'), true) },
  heal: world => { world.network.heal() },
  outage: (world, line) => { world.store.isDown = line.isOver !== true },
  topUp: (world, line) => { world.topUp(textOf(line, 'budget'), textOf(line, 'operationId'), numberOf(line, 'tokens')) },
  reclaim: (world, line) => { partOf(world.routers, textOf(line, 'router')).reclaim(textOf(line, 'holder')) },
  learnFences: (world, line) => { partOf(world.routers, textOf(line, 'router')).learnFences() },
  loseEndpoint: (world, line) => { world.loseEndpoint(textOf(line, 'endpoint')) },
  joinEndpoint: (world, line) => { world.joinEndpoint(textOf(line, 'endpoint')) },
  acceptEndpoint: (world, line) => { world.acceptEndpoint(textOf(line, 'endpoint')) },
  account: world => { world.settleAndCheck() }
}

/** State of a budget in the terms of `expect` lines. */
export function stateOf (world: BudgetWorld, budget: string): Readonly<Record<string, unknown>> {
  const entry = world.store.shard(shardOf(budget, world.shards)).budgets.get(budget)
  if (entry === undefined) throw new TraceError(`there is no budget "${budget}"`)
  return {
    grantedTokens: entry.grantedTokens,
    spentTokens: entry.spentTokens,
    freeTokens: freeTokens(entry),
    ranTokens: world.truth.spentOf(budget),
    caps: Object.fromEntries(entry.slices.map(slice => [slice.holder, slice.capTokens])),
    running: [...world.endpoints.values()].reduce((sum, endpoint) => sum + endpoint.running.length, 0)
  }
}

function expectState (world: BudgetWorld, line: TraceLine): void {
  const state = stateOf(world, textOf(line, 'expect'))
  for (const [field, expected] of Object.entries(line)) {
    if (field === 'expect') continue
    if (!Object.hasOwn(state, field)) throw new TraceError(`there is no value "${field}"`)
    const found = JSON.stringify(state[field])
    if (found !== JSON.stringify(expected)) throw new TraceError(`${field} is ${found}, stated is ${JSON.stringify(expected)}`)
  }
}

function apply (world: BudgetWorld, line: TraceLine): void {
  if (line.expect !== undefined) return expectState(world, line)
  const name = textOf(line, 'do')
  const action = Object.hasOwn(actions, name) ? actions[name] : undefined
  if (action === undefined) throw new TraceError(`there is no step "${name}"`)
  action(world, line)
  world.check()
}

/** Replays a trace; throws `TraceError` with the number of the line at which it goes another way than stated. */
export function replayTrace (text: string): void {
  const lines = text.split('\n').map((line, index) => ({ line, number: index + 1 })).filter(({ line }) => line.trim() !== '')
  let world: BudgetWorld | undefined
  for (const { line, number } of lines) {
    try {
      const parsed = JSON.parse(line) as TraceLine
      if (world === undefined) world = new BudgetWorld(parsed.world as WorldOptions)
      else apply(world, parsed)
    } catch (error) {
      throw new TraceError(`line ${number}: ${error instanceof Error ? error.message : String(error)}`)
    }
  }
}
