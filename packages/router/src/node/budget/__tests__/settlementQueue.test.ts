import { describe, expect, it } from 'vitest'
import type { Membership } from '@buckthorndrift/coordination'
import type { Member, SettleInput } from '@buckthorndrift/protocol'
import { SettlementQueue } from '../settlementQueue.ts'

const home: Member = { id: 'r1', incarnation: 'a', role: 'router', vm: 'r1', failureDomain: 'd1', controlUrl: 'http://r1', leaving: false }
const reservation = { holder: 'r1.a', shard: 0, seq: 1, tokens: 10 }

function build () {
  const state = { members: [home] as readonly Member[], isDown: false, sent: [] as SettleInput['items'][] }
  const membership = { routers: () => state.members, noteUnreachable () {} } as unknown as Membership
  const settlementQueue = new SettlementQueue({
    membership,
    send: async (_peer, items) => {
      if (state.isDown) throw new Error('no answer')
      state.sent.push(items)
    }
  })
  return { state, settlementQueue }
}

const settleCalls = () => new Promise(resolve => { setImmediate(resolve) })

describe('settlement queue', () => {
  it('sends a settlement again after a failed call, so that the holder gets the unspent tokens back', async () => {
    const { state, settlementQueue } = build()
    state.isDown = true
    settlementQueue.add('b1', reservation, 4)
    settlementQueue.flush(0)
    await settleCalls()
    state.isDown = false
    settlementQueue.flush(100)
    await settleCalls()
    expect(state.sent).toEqual([[{ budget: 'b1', reservation, tokens: 4 }]])
    expect(settlementQueue.isEmpty).toBe(true)
  })

  it('keeps settlements while their holder is unregistered for less than a minute, and drops them after that', async () => {
    const { state, settlementQueue } = build()
    settlementQueue.add('b1', reservation, 4)
    state.members = []
    settlementQueue.flush(0)
    settlementQueue.flush(50_000)
    expect(settlementQueue.isEmpty).toBe(false)
    settlementQueue.flush(60_000)
    expect(settlementQueue.isEmpty).toBe(true)
  })
})
