import { describe, expect, it } from 'vitest'
import { PeerSearch } from '../index.ts'

const addresses = Array.from({ length: 18 }, (_, index) => `router-${index}:1`)

function countingRandom (): () => number {
  let state = 7
  return () => { state = (state * 48_271) % 2_147_483_647; return state / 2_147_483_647 }
}

describe('PeerSearch', () => {
  it('spreads nine routers that are cut off together over the 18 others', () => {
    const random = countingRandom()
    const firsts = new Set(Array.from({ length: 9 }, () => new PeerSearch(random).nextAddresses(addresses, 0)[0]))
    expect(firsts.size).toBeGreaterThanOrEqual(5)
  })

  it('asks others while some that failed are left out, and finds the one that reaches the store among 18 within 3 s', () => {
    const search = new PeerSearch(countingRandom())
    let nowMs = 0
    for (; search.found === undefined && nowMs < 3000; nowMs += 100) {
      if (!search.maySearch(nowMs)) continue
      for (const address of search.nextAddresses(addresses, nowMs)) {
        if (address === addresses[11]) search.recordContact({ holder: 'router-11.1', address })
        else search.recordFailure(address, nowMs)
      }
    }
    expect(search.found?.holder).toBe('router-11.1')
  })

  it('gives up a router that does not reach the store any more, and searches at most every 300 ms', () => {
    const search = new PeerSearch(countingRandom())
    search.recordContact({ holder: 'router-1.1', address: addresses[1]! })
    search.recordFailure(addresses[1]!, 0)
    expect(search.found).toBeUndefined()
    expect(search.nextAddresses(addresses, 1000)).not.toContain(addresses[1])
    expect(search.maySearch(1299)).toBe(false)
    expect(search.maySearch(1300)).toBe(true)
  })
})
