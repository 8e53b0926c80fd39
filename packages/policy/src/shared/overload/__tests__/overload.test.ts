import { describe, expect, it } from 'vitest'
import { linkAveragingMs, MeanWait, OverloadGuard, processorAveragingMs, RateUtilization } from '../index.ts'

/** Capacity of a link of 10 Mbit/s. */
const bytesPerMs = 1250
const objectiveMs = 400

describe('RateUtilization', () => {
  function shareAfter (durationMs: number, perMs: number): number {
    const use = new RateUtilization(bytesPerMs, linkAveragingMs, 0, 0)
    for (let nowMs = 200; nowMs <= durationMs; nowMs += 200) use.addSample(perMs * nowMs, nowMs)
    return use.share
  }

  it('computes the used share of the capacity', () => {
    expect(shareAfter(10_000, bytesPerMs / 2)).toBeCloseTo(0.5, 2)
  })

  it('follows a change within two seconds', () => {
    expect(shareAfter(2000, bytesPerMs)).toBeGreaterThan(0.9)
  })

  it('does not report a saturated link after one large body', () => {
    const use = new RateUtilization(bytesPerMs, linkAveragingMs, 0, 0)
    use.addSample(72_000, 200)
    expect(use.share).toBeLessThan(0.1)
  })
})

interface SimulationResult {
  readonly served: readonly number[]
  readonly refused: readonly number[]
  /** Longest time in ms that bytes waited for the link. */
  readonly longestQueueMs: number
}

interface Flow {
  readonly rank: number
  readonly perS: number
  readonly bytes: number
}

/** Simulates requests on a link, on which bytes beyond the capacity queue. */
function simulate (flows: readonly Flow[], guard: OverloadGuard | undefined, durationMs: number): SimulationResult {
  const stepMs = 50
  const link = new RateUtilization(bytesPerMs, linkAveragingMs, 0, 0)
  const served = [0, 0, 0]
  const refused = [0, 0, 0]
  const due = flows.map(() => 0)
  let offeredBytes = 0
  let queuedBytes = 0
  let longestQueueMs = 0
  for (let nowMs = stepMs; nowMs <= durationMs; nowMs += stepMs) {
    flows.forEach((flow, index) => {
      due[index]! += flow.perS * stepMs / 1000
      for (; due[index]! >= 1; due[index]!--) {
        if (guard?.admits(flow.rank, objectiveMs) === false) {
          refused[flow.rank]!++
          continue
        }
        served[flow.rank]!++
        queuedBytes += flow.bytes
        offeredBytes += flow.bytes
      }
    })
    queuedBytes = Math.max(0, queuedBytes - bytesPerMs * stepMs)
    longestQueueMs = Math.max(longestQueueMs, queuedBytes / bytesPerMs)
    link.addSample(offeredBytes, nowMs)
    guard?.update({ link: link.share, processor: 0, processorWaitMs: 0 }, nowMs)
  }
  return { served, refused, longestQueueMs }
}

describe('OverloadGuard', () => {
  // One organisation sends 1.6 times the capacity of a 10 Mbit/s link to one router.
  const flows: readonly Flow[] = [
    { rank: 0, perS: 60, bytes: 5000 },
    { rank: 1, perS: 25, bytes: 16_000 },
    { rank: 2, perS: 130, bytes: 10_000 }
  ]

  it('keeps the queue of an overloaded link short and still serves urgent requests', () => {
    const unguarded = simulate(flows, undefined, 20_000)
    const guarded = simulate(flows, new OverloadGuard(), 20_000)
    expect(unguarded.longestQueueMs).toBeGreaterThan(5000)
    expect(guarded.longestQueueMs).toBeLessThan(500)
    expect(guarded.refused[0]).toBe(0)
    expect(guarded.served[1]! / (guarded.served[1]! + guarded.refused[1]!)).toBeGreaterThan(0.9)
    expect(guarded.served[2]).toBeGreaterThan(0)
  })

  it('refuses nothing while the load is below the capacity of the link', () => {
    const { refused } = simulate(flows.map(flow => ({ ...flow, perS: flow.perS / 3 })), new OverloadGuard(), 20_000)
    expect(refused).toEqual([0, 0, 0])
  })

  it('diverts new connections before it refuses requests, and stops diverting only at a clearly lower utilization', () => {
    const guard = new OverloadGuard()
    guard.update({ link: 0.7, processor: 0, processorWaitMs: 0 }, 0)
    expect([guard.isDiverting, guard.admits(2, objectiveMs)]).toEqual([true, true])
    guard.update({ link: 0.5, processor: 0, processorWaitMs: 0 }, 10_000)
    expect(guard.isDiverting).toBe(true)
    guard.update({ link: 0.3, processor: 0, processorWaitMs: 0 }, 20_000)
    expect(guard.isDiverting).toBe(false)
  })

  it('diverts for a minimum time, so that the callers that overloaded the router do not return at once', () => {
    const guard = new OverloadGuard()
    guard.update({ link: 0.9, processor: 0, processorWaitMs: 0 }, 0)
    guard.update({ link: 0.1, processor: 0, processorWaitMs: 0 }, 1000)
    expect(guard.isDiverting).toBe(true)
    guard.update({ link: 0.1, processor: 0, processorWaitMs: 0 }, 8000)
    expect(guard.isDiverting).toBe(false)
  })

  // Guards against a failure domain of which most routers withdraw while each of them still serves its callers: the balancer then uses all of them again, also the one that is overloaded.
  it('withdraws one overloaded router of a failure domain, and none of those that are busy with the start of the traffic', () => {
    const usePerRouter = [1.28, ...Array.from({ length: 13 }, (_, index) => 0.55 + 0.03 * index)]
    const guards = usePerRouter.map(processor => {
      const guard = new OverloadGuard()
      for (let nowMs = 200; nowMs <= 4000; nowMs += 200) guard.update({ link: 0.1, processor, processorWaitMs: processor > 1 ? 90 : 20 }, nowMs)
      return guard
    })
    expect(guards.map(guard => guard.isDiverting)).toEqual(usePerRouter.map(processor => processor > 1))
  })

  it('stays withdrawn twice as long each time that the same callers come back, up to a limit', () => {
    const guard = new OverloadGuard()
    const divertedMs: number[] = []
    let nowMs = 0
    for (let round = 0; round < 5; round++) {
      const sinceMs = nowMs
      guard.update({ link: 0.1, processor: 1.2, processorWaitMs: 90 }, nowMs)
      while (guard.isDiverting) guard.update({ link: 0.1, processor: 0.2, processorWaitMs: 5 }, nowMs += 200)
      divertedMs.push(nowMs - sinceMs)
      nowMs += 2000
    }
    expect(divertedMs).toEqual([6000, 12_000, 24_000, 24_000, 24_000])
    guard.update({ link: 0.1, processor: 1.2, processorWaitMs: 90 }, nowMs += 60_000)
    guard.update({ link: 0.1, processor: 0.2, processorWaitMs: 5 }, nowMs += 6000)
    expect(guard.isDiverting).toBe(false)
  })

  // Guards against refusals for a burst of the processor, such as that of a large configuration, which delays requests by less than a refusal does.
  it('refuses nothing when the processor of a small VM is busy for 300 ms, and refuses by rank when it stays busy', () => {
    const guard = new OverloadGuard()
    const processor = new RateUtilization(0.12, processorAveragingMs, 0, 0)
    const play = (fromMs: number, untilMs: number, busyUntilMs: number): void => {
      for (let nowMs = fromMs; nowMs <= untilMs; nowMs += 100) {
        processor.addSample(0.12 * (0.3 * nowMs + 0.7 * Math.min(nowMs, busyUntilMs)), nowMs)
        guard.update({ link: 0.1, processor: processor.share, processorWaitMs: objectiveMs / 5 }, nowMs)
        if (busyUntilMs < untilMs) expect([0, 1, 2].map(rank => guard.admits(rank, objectiveMs))).toEqual([true, true, true])
      }
    }
    play(100, 1000, 300)
    play(1100, 12_000, 12_000)
    expect([0, 1, 2].map(rank => guard.admits(rank, objectiveMs))).toEqual([true, true, false])
  })
})

interface Crowd {
  readonly requestsPerS: number
  /** Processor time of one request at full speed. */
  readonly workMs: number
  /** Speed of the processor as a multiple of the speed that the router knows. */
  readonly speed: number
}

interface CrowdResult {
  readonly answeredInTime: number
  readonly refused: number
  readonly isDiverting: boolean
}

/** Time within which a crowd has to be noticed. */
const noticeMs = 2000

/** Plays requests of rank 2 on a VM with a tenth of a core, and counts those after `noticeMs`. They are taken up in order of arrival, and wait for the processor three times. */
function playCrowd ({ requestsPerS, workMs, speed }: Crowd, durationMs: number): CrowdResult {
  const cores = 0.1
  const stepMs = 50
  const guard = new OverloadGuard()
  const use = new RateUtilization(cores, processorAveragingMs, 0, 0)
  const wait = new MeanWait(0)
  const result = { answeredInTime: 0, refused: 0 }
  let queuedMs = 0
  let usedMs = 0
  let due = 0
  for (let nowMs = stepMs; nowMs <= durationMs; nowMs += stepMs) {
    for (due += requestsPerS * stepMs / 1000; due >= 1; due--) {
      if (!guard.admits(2, objectiveMs)) {
        if (nowMs > noticeMs) result.refused++
        continue
      }
      if (nowMs > noticeMs && 3 * queuedMs / (cores * speed) < objectiveMs) result.answeredInTime++
      queuedMs += workMs
    }
    const doneMs = Math.min(queuedMs, stepMs * cores * speed)
    queuedMs -= doneMs
    usedMs += doneMs
    use.addSample(usedMs, nowMs)
    wait.addSample(queuedMs / (cores * speed), nowMs)
    guard.update({ link: 0, processor: use.share, processorWaitMs: wait.waitMs }, nowMs)
  }
  return { ...result, isDiverting: guard.isDiverting }
}

describe('OverloadGuard on a small VM', () => {
  // Guards against refusals by a router that answers every request at once, because its processor is faster than its settings say.
  it('serves a crowd that uses more than its share of the processor without waiting', () => {
    expect(playCrowd({ requestsPerS: 20, workMs: 8, speed: 3 }, noticeMs + 20_000)).toEqual({ answeredInTime: 400, refused: 0, isDiverting: false })
  })

  it('sends callers to other routers, and answers what it accepts in time, when a crowd brings twice what it can do', () => {
    const { answeredInTime, refused, isDiverting } = playCrowd({ requestsPerS: 20, workMs: 10, speed: 1 }, noticeMs + 20_000)
    expect(isDiverting).toBe(true)
    expect(answeredInTime).toBeGreaterThan(0.4 * 400)
    expect(answeredInTime).toBeGreaterThan(0.9 * (400 - refused))
  })

  it('refuses nothing for 300 ms of other work, such as a large configuration', () => {
    const wait = new MeanWait(0)
    wait.addSample(300, 300)
    wait.addSample(0, 350)
    const guard = new OverloadGuard()
    guard.update({ link: 0, processor: 0.5, processorWaitMs: wait.waitMs }, 400)
    expect([guard.admits(2, objectiveMs), guard.isDiverting]).toEqual([true, false])
  })
})
