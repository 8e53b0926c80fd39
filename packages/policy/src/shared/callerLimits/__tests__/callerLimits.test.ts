import { describe, expect, it } from 'vitest'
import { ConnectionOrder, HeldMemory, maxRequestsAhead, socketShares } from '../index.ts'

describe('HeldMemory', () => {
  /** Opens a holder that has taken `bytes` at `nowMs`, and lists its name when it is ended. */
  function hold (memory: HeldMemory, bytes: number, nowMs: number, name = '', ended: string[] = []) {
    const holder = memory.open(nowMs)
    holder.whenEvicted(() => { ended.push(name) })
    return { holder, isHeld: holder.tryHold(bytes, nowMs) }
  }

  it('takes what a request holds, and gets it back when the request ends', () => {
    const memory = new HeldMemory(100)
    const { holder } = hold(memory, 100, 0)
    expect(holder.tryHold(1, 0)).toBe(false)
    holder.release()
    expect(memory.usedBytes).toBe(0)
    expect(holder.tryHold(1, 0)).toBe(false)
  })

  describe('with a crowd that has used it up', () => {
    it('ends the request that has stalled longest', () => {
      const [memory, ended] = [new HeldMemory(100), [] as string[]]
      hold(memory, 50, 1000, 'later', ended)
      hold(memory, 50, 0, 'first', ended)
      expect(hold(memory, 10, 4000).isHeld).toBe(true)
      expect(ended).toEqual(['first'])
    })

    it('ends the largest request for a smaller one where none has stalled', () => {
      const [memory, ended] = [new HeldMemory(100), [] as string[]]
      hold(memory, 40, 0, 'small', ended)
      hold(memory, 60, 0, 'large', ended)
      expect(hold(memory, 10, 100).isHeld).toBe(true)
      expect(ended).toEqual(['large'])
    })

    it('refuses a request that would be the largest, and ends none for it', () => {
      const [memory, ended] = [new HeldMemory(100), [] as string[]]
      for (const name of ['first', 'second']) hold(memory, 50, 0, name, ended)
      expect(hold(memory, 50, 100).isHeld).toBe(false)
      expect(ended).toEqual([])
    })

    it('ends no request that may have run', () => {
      const [memory, ended] = [new HeldMemory(100), [] as string[]]
      hold(memory, 100, 0, 'running', ended).holder.protect()
      expect(hold(memory, 1, 60_000).isHeld).toBe(false)
      expect(ended).toEqual([])
    })
  })
})

describe('ConnectionOrder', () => {
  it('closes the connection that has been without a request longest for a new one', () => {
    const order = new ConnectionOrder(2)
    const [first, second, third, fourth] = [{}, {}, {}, {}]
    for (const connection of [first, second]) expect(order.add(connection)).toBeUndefined()
    order.beginRequest(first)
    order.endRequest(first, false)
    expect(order.add(third)).toBe(second)
    order.beginRequest(first)
    expect(order.add(fourth)).toBe(third)
  })

  it('closes a new connection while all others have requests', () => {
    const order = new ConnectionOrder(1)
    const [first, second] = [{}, {}]
    order.add(first)
    order.beginRequest(first)
    order.recordRead(first)
    expect(order.add(second)).toBe(second)
    expect(order.openCount).toBe(1)
  })

  it('closes a connection whose request is still arriving where all have requests', () => {
    const order = new ConnectionOrder(2)
    const [running, arriving, third] = [{}, {}, {}]
    for (const connection of [running, arriving]) {
      order.add(connection)
      order.beginRequest(connection)
    }
    order.recordRead(running)
    expect(order.add(third)).toBe(arriving)
  })

  it('limits the requests that one connection sends ahead', () => {
    const order = new ConnectionOrder(1)
    const connection = {}
    order.add(connection)
    const results = Array.from({ length: maxRequestsAhead + 1 }, () => order.beginRequest(connection))
    expect(results.filter(isAdmitted => !isAdmitted)).toHaveLength(1)
  })
})

describe('socketShares', () => {
  it('leaves sockets for the store and other routers', () => {
    const { callers, endpoints, peers, readiness, metrics } = socketShares(1869)
    expect(callers + endpoints + peers + readiness + metrics).toBeLessThan(1869 * 0.95)
  })

  it('sets no limit where the number of sockets is not known', () => {
    expect(socketShares(undefined).callers).toBe(Infinity)
  })
})
