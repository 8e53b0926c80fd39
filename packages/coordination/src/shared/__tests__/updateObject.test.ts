import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { ManualTimers } from '@buckthorndrift/kernel'
import { MemoryObjects, MemoryObjectStore, updateObject, type MemoryStoreFault, type StoredObject } from '../../index.ts'
import { settle } from './settle.ts'

interface Log { readonly operations: readonly string[] }

function append (operation: string) {
  return (present: StoredObject | undefined): Log | undefined => {
    const operations = (present?.value as Log | undefined)?.operations ?? []
    return operations.includes(operation) ? undefined : { operations: [...operations, operation] }
  }
}

const fault = fc.constantFrom<MemoryStoreFault>('none', 'none', 'none', 'lostRequest', 'lostReply', 'lateRequest', 'unavailable')

describe('updateObject', () => {
  it('applies each operation once and reports truthfully under lost, late and refused calls by several writers', async () => {
    await fc.assert(fc.asyncProperty(fc.array(fc.array(fault, { maxLength: 12 }), { minLength: 1, maxLength: 4 }), fc.integer(), async (plans, seed) => {
      const timers = new ManualTimers()
      const objects = new MemoryObjects()
      const random = (): number => ((seed >>> 0) % 97) / 97
      const outcomes = await settle(timers, Promise.all(plans.map(async (plan, index) => {
        const remaining = [...plan]
        const store = new MemoryObjectStore({ timers, objects, faultOf: () => remaining.shift() ?? 'none', delayMs: () => index + 1, lateMs: 12 })
        return updateObject(store, 'log', append(`op${index}`), { timers, random })
      })))
      timers.advance(1000)
      const text = objects.entries.get('log')?.text
      const operations = text === undefined ? [] : (JSON.parse(text) as Log).operations
      for (const [index, outcome] of outcomes.entries()) {
        const count = operations.filter(operation => operation === `op${index}`).length
        if (outcome.isOk()) expect(count).toBe(1)
        else if (outcome.error.kind === 'unavailable' && outcome.error.mayHaveApplied) expect(count).toBeLessThanOrEqual(1)
        else expect(count).toBe(0)
      }
    }), { numRuns: 500 })
  })

  it('re-reads after a lost reply instead of writing twice', async () => {
    const store = new MemoryObjectStore({ timers: new ManualTimers() })
    store.loseReplies = 1
    const outcome = await updateObject(store, 'log', append('a'))
    expect(outcome.unwrap()).toMatchObject({ isWritten: true, object: { version: 1, value: { operations: ['a'] } } })
    expect(store.counters.write).toBe(1)
  })

  it('gives up after a bounded number of writes and says that nothing was applied', async () => {
    const store = new MemoryObjectStore({ timers: new ManualTimers() })
    const outcome = await updateObject(store, 'log', present => {
      // Another writer comes first each time.
      store.objects.entries.set('log', { version: store.objects.recordChange('log', false), text: '{}' })
      return present === undefined ? { first: true } : { later: true }
    }, { maxAttempts: 3 })
    expect(outcome.isErr() && outcome.error).toMatchObject({ kind: 'unavailable', mayHaveApplied: false })
    expect(store.counters.write).toBe(3)
  })
})
