import { describe, expect, it } from 'vitest'
import { KnownEvacuations } from '../index.ts'

const allOrders = { mayLackOrders: false }

function listed (...failureDomains: readonly string[]): KnownEvacuations {
  const evacuations = new KnownEvacuations({ isOffered: true })
  evacuations.applyListed(new Set(failureDomains), allOrders)
  return evacuations
}

describe('orders to evacuate failure domains', () => {
  // Guards against a router that has just started and sends requests to a domain whose order it has not read yet.
  it('allow no domain before they were listed, also if one order is known', () => {
    const evacuations = new KnownEvacuations({ isOffered: true })
    evacuations.begin('a')
    expect([evacuations.mayUse('a'), evacuations.mayUse('b'), evacuations.isKnown]).toEqual([false, false, false])
    evacuations.applyListed(new Set(['a']), allOrders)
    expect([evacuations.mayUse('a'), evacuations.mayUse('b')]).toEqual([false, true])
  })

  it('forbid nothing in a deployment that does not offer them', () => {
    const evacuations = new KnownEvacuations({ isOffered: false })
    expect([evacuations.mayUse('a'), evacuations.isKnown]).toEqual([true, true])
  })

  it('hold until they are removed or missing from a list', () => {
    const evacuations = listed('a', 'b')
    expect([evacuations.begin('a'), evacuations.end('a'), evacuations.end('a')]).toEqual([false, true, false])
    expect([evacuations.mayUse('a'), evacuations.mayUse('b')]).toEqual([true, false])
    expect(evacuations.applyListed(new Set(['c']), allOrders)).toEqual(['b'])
    expect([evacuations.mayUse('b'), evacuations.mayUse('c'), evacuations.size]).toEqual([true, false, 1])
  })

  // Guards against a restore of the store from a copy made before the order, which would lift it.
  it('hold although a list that may lack orders does not name them', () => {
    const evacuations = listed('a')
    expect(evacuations.applyListed(new Set(['b']), { mayLackOrders: true })).toEqual([])
    expect([evacuations.mayUse('a'), evacuations.mayUse('b')]).toEqual([false, false])
  })
})
