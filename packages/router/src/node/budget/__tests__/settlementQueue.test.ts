import { describe, expect, it } from 'vitest'
import type { Membership } from '@buckthorndrift/coordination'
import type { Member, SettleInput } from '@buckthorndrift/protocol'
import { Settlements } from '../settlementQueue.ts'

const home: Member = { id: 'r1', incarnation: 'a', role: 'router', vm: 'r1', failureDomain: 'd1', controlUrl: 'http://r1', leaving: false }
const reservation = { holder: 'r1.a', shard: 0, seq: 1, tokens: 10 }

function build () {
  const state = { members: [home] as readonly Member[], isDown: false, sent: [] as SettleInput['items'][] }
  const membership = { routers: () => state.members, noteUnreachable () {} } as unknown as Membership
  const settlements = new Settlements({
    membership,
    send: async (_peer, items) => {
      if (state.isDown) throw new Error('no answer')
      state.sent.push(items)
    }
  })
  return { state, settlements }
}

const settle = () => new Promise(resolve => { setImmediate(resolve) })

describe('settlements', () => {
  it('are sent again after a call without an answer, so that the remainder is not lost', async () => {
    const { state, settlements } = build()
    state.isDown = true
    settlements.add('b1', reservation, 4)
    settlements.flush(0)
    await settle()
    state.isDown = false
    settlements.flush(100)
    await settle()
    expect(state.sent).toEqual([[{ budget: 'b1', reservation, tokens: 4 }]])
    expect(settlements.isEmpty).toBe(true)
  })

  it('outlast a moment in which the registry lacks their holder, and are dropped when it stays away', async () => {
    const { state, settlements } = build()
    settlements.add('b1', reservation, 4)
    state.members = []
    settlements.flush(0)
    settlements.flush(50_000)
    expect(settlements.isEmpty).toBe(false)
    settlements.flush(60_000)
    expect(settlements.isEmpty).toBe(true)
  })
})
