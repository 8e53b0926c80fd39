/** Plays long and short prompts on several engines that many routers share, with a queue for each engine. Engines are busy for a third of the time, most of it with long prompts. */
import { describe, expect, it } from 'vitest'
import { EngineRanks, placeGeneration, standingOf } from '../../placement/index.ts'
import { LoadSums, PrefillBacklog, SharedLoad } from '../index.ts'

const tokensPerMs = 50
const routerCount = 24
const engineIds = Array.from({ length: 12 }, (_, index) => `e${index}`)
const exchangeIntervalMs = 200
/** Tokens of a prompt that is told to the others at once. */
const longPromptTokens = 5000
const objectiveMs = { short: 400, long: 2000 }
const timeoutMs = 10_000
const priority = { base: 0, route: 0 }

type Size = 'short' | 'long'
interface Prompt { readonly size: Size, readonly tokens: number, readonly rank: number, readonly arrivedMs: number, readonly router: Router, readonly engine: string }
interface Router { readonly backlogs: Map<string, PrefillBacklog>, readonly shared: SharedLoad }
interface Engine { readonly queue: Prompt[], current: Prompt | undefined, busyUntilMs: number }

function generator (seed: number): () => number {
  let state = seed
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0
    return state / 2 ** 32
  }
}

interface Play {
  /** Whether routers exchange loads. */
  readonly isShared: boolean
  /** Whether engines get ranks by the standing of prompts. */
  readonly isRanked: boolean
  readonly seed: number
}

/** Waiting times until prompts were read, by size. */
function play ({ isShared, isRanked, seed }: Play): Record<Size, number[]> {
  const random = generator(seed)
  const routers = Array.from({ length: routerCount }, (): Router => ({ backlogs: new Map(engineIds.map(id => [id, new PrefillBacklog()])), shared: new SharedLoad() }))
  const engines = new Map(engineIds.map((id): [string, Engine] => [id, { queue: [], current: undefined, busyUntilMs: 0 }]))
  const sums = new LoadSums()
  const ranks = new EngineRanks([priority])
  const times: Record<Size, number[]> = { short: [], long: [] }

  function place (size: Size, nowMs: number): void {
    const tokens = size === 'short' ? 300 + random() * 1200 : 8000 + 46_000 * random() ** 3
    const router = routers[Math.floor(random() * routerCount)]!
    const candidates = engineIds.map(id => ({
      id,
      cachedTokens: 0,
      pendingTokens: router.backlogs.get(id)!.tokens(tokensPerMs, nowMs),
      running: 0,
      heldTokens: 0,
      capacityTokens: 1e9,
      failureShare: 0,
      isAvoided: false,
      excessMs: 0,
      others: isShared ? router.shared.at(id, tokensPerMs, nowMs) : undefined
    }))
    const homeId = engineIds[Math.floor(random() * engineIds.length)]!
    const { id } = placeGeneration({ candidates, promptTokens: tokens, homeId, secondHomeId: undefined, sharedTokens: tokens * 0.1, tried: new Set(), objectiveMs: objectiveMs[size], tokensPerMs, random })!
    const standing = standingOf({ prefillMs: tokens / tokensPerMs, objectiveMs: objectiveMs[size], timeoutMs, waitedMs: 0 })
    router.backlogs.get(id)!.add(tokens, tokensPerMs, nowMs)
    if (tokens >= longPromptTokens) exchange(router, nowMs)
    engines.get(id)!.queue.push({ size, tokens, rank: isRanked ? ranks.rankOf(priority, standing) : 0, arrivedMs: nowMs, router, engine: id })
  }

  function read (engine: Engine, nowMs: number): void {
    if (nowMs < engine.busyUntilMs) return
    if (engine.current !== undefined) {
      const { size, tokens, arrivedMs, router, engine: id } = engine.current
      times[size].push(nowMs - arrivedMs)
      router.backlogs.get(id)!.remove(tokens, tokensPerMs, nowMs)
    }
    engine.queue.sort((left, right) => left.rank - right.rank || left.arrivedMs - right.arrivedMs)
    engine.current = engine.queue.shift()
    if (engine.current !== undefined) engine.busyUntilMs = nowMs + engine.current.tokens / tokensPerMs
  }

  function exchange (router: Router, nowMs: number): void {
    const loads = new Map([...router.backlogs].map(([id, backlog]) => [id, { pendingTokens: backlog.tokens(tokensPerMs, nowMs), running: 0, heldTokens: 0 }]))
    router.shared.receive(sums.exchange(`${routers.indexOf(router)}`, loads, nowMs), nowMs)
  }

  for (let nowMs = 0; nowMs < 60_000; nowMs += 5) {
    if (nowMs < 50_000 && random() < 0.45) place('short', nowMs)
    if (nowMs < 50_000 && random() < 0.03) place('long', nowMs)
    for (const engine of engines.values()) read(engine, nowMs)
    for (const [index, router] of routers.entries()) {
      if ((nowMs + index * 10) % exchangeIntervalMs === 0) exchange(router, nowMs)
    }
  }
  return times
}

function shareWithin (times: readonly number[], limitMs: number): number {
  return times.filter(timeMs => timeMs <= limitMs).length / times.length
}

describe('a mixed load of long and short prompts', () => {
  it.each([1, 2, 3])('meets the objectives of both with shared loads and ranks, which it does not without them (seed %i)', seed => {
    const { short, long } = play({ isShared: true, isRanked: true, seed })
    expect(shareWithin(short, objectiveMs.short)).toBeGreaterThan(0.98)
    expect(shareWithin(long, objectiveMs.long)).toBeGreaterThan(0.98)
    expect(shareWithin(play({ isShared: false, isRanked: false, seed }).short, objectiveMs.short)).toBeLessThan(0.95)
  })

  it('does not let long prompts starve', () => {
    const { long } = play({ isShared: true, isRanked: true, seed: 4 })
    expect(Math.max(...long)).toBeLessThan(timeoutMs / 2)
  })
})
