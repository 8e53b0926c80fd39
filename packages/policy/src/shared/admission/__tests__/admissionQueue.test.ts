import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { AdmissionQueue, type WaitingRequest } from '../index.ts'

let ids = 0
function request (fields: Partial<WaitingRequest> = {}): WaitingRequest {
  ids += 1
  return { id: String(ids), organisation: 'a', priority: 'interactive', deadlineAtMs: 1e9, tokens: 10, ...fields }
}

/** Fills the back end, offers the requests, and returns them in the order in which they are dequeued. */
function orderOf (requests: readonly WaitingRequest[]): readonly WaitingRequest[] {
  const queue = new AdmissionQueue({ limit: 1, queueLimit: 1000 })
  queue.offer(request(), 0)
  for (const waiting of requests) queue.offer(waiting, 0)
  return requests.map(() => { queue.finished(); return queue.next()! })
}

describe('AdmissionQueue', () => {
  it('never runs more requests than the concurrency limit or queues more than the queue limit', () => {
    const step = fc.oneof(fc.constant('finish' as const), fc.record({
      organisation: fc.constantFrom('a', 'b', 'c'), priority: fc.constantFrom('interactive', 'batch'), tokens: fc.integer({ min: 0, max: 500 }), deadlineAtMs: fc.integer({ min: 0, max: 5000 })
    }))
    fc.assert(fc.property(fc.array(step, { maxLength: 200 }), fc.integer({ min: 1, max: 5 }), (steps, limit) => {
      const queue = new AdmissionQueue({ limit, queueLimit: 10 })
      const open = new Set<string>()
      let nowMs = 0
      let running = 0
      for (const action of steps) {
        nowMs += 7
        if (action === 'finish') {
          if (running === 0) continue
          queue.finished(20)
          running -= 1
          for (let next = queue.next(); next !== undefined; next = queue.next()) {
            expect(open.delete(next.id), 'a request must leave the queue only once').toBe(true)
            running += 1
          }
        } else {
          const waiting = request(action as Partial<WaitingRequest>)
          const offer = queue.offer(waiting, nowMs)
          if (offer.kind === 'run') running += 1
          if (offer.kind === 'queued') open.add(waiting.id)
        }
        for (const late of queue.expire(nowMs)) open.delete(late.id)
        expect([queue.running, queue.queued]).toEqual([running, open.size])
        expect(running).toBeLessThanOrEqual(limit)
        expect(open.size).toBeLessThanOrEqual(10)
      }
    }))
  })

  it('runs interactive requests before batch requests, and earlier deadlines first within an organisation', () => {
    const batch = request({ priority: 'batch' })
    const late = request({ deadlineAtMs: 900 })
    const early = request({ deadlineAtMs: 500 })
    expect(orderOf([batch, late, early])).toEqual([early, late, batch])
  })

  it('shares the back end between organisations by tokens, so that a flood from one does not delay another', () => {
    const flood = Array.from({ length: 20 }, () => request({ organisation: 'flood', tokens: 100 }))
    const small = Array.from({ length: 10 }, () => request({ organisation: 'small', tokens: 20 }))
    const order = orderOf([...flood, ...small])
    expect(order.slice(0, 14).filter(({ organisation }) => organisation === 'small')).toHaveLength(10)
  })

  it('rejects requests that cannot finish before their deadline at once, instead of queueing them', () => {
    const queue = new AdmissionQueue({ limit: 1, queueLimit: 10 })
    queue.offer(request(), 0)
    queue.finished(100)
    queue.offer(request(), 0)
    expect(queue.offer(request({ deadlineAtMs: 150 }), 0)).toEqual({ kind: 'tooLate', retryAfterMs: 100 })
    expect(queue.offer(request({ deadlineAtMs: 250 }), 0).kind).toBe('queued')
    expect(queue.offer(request({ deadlineAtMs: 250 }), 0).kind, 'the queued request before it runs first').toBe('tooLate')
    expect(queue.expire(160)).toHaveLength(1)
  })

  it('queues requests while `mayStart` is false, as during a health check of the back end', () => {
    const queue = new AdmissionQueue({ limit: 2, queueLimit: 10 })
    expect(queue.offer(request(), 0, false).kind).toBe('queued')
  })
})
