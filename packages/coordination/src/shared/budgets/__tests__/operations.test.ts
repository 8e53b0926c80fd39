import { describe, expect, it } from 'vitest'
import { createStoredBudget, decodeShard, encodeShard, ensureBudgetLayout, readBudget, readOrganisationBudgets, topUpStoredBudget } from '../index.ts'
import { MemoryStore } from './memoryStore.ts'

const added = { budget: 'b1', organisation: 'o1', grantedTokens: 100, operationId: 'op1' }

describe('budgets on an object store', () => {
  it('counts a top-up once when its reply is lost and when it is repeated', async () => {
    const store = new MemoryStore()
    await createStoredBudget(store, added)
    store.writeFaults = ['lostReply']
    expect((await topUpStoredBudget(store, 'b1', 'op2', 50)).unwrap().grantedTokens).toBe(150)
    expect((await topUpStoredBudget(store, 'b1', 'op2', 50)).unwrap().grantedTokens).toBe(150)
  })

  it('keeps both of two top-ups that race, so that none is lost', async () => {
    const store = new MemoryStore()
    await createStoredBudget(store, added)
    await Promise.all([topUpStoredBudget(store, 'b1', 'op2', 50), topUpStoredBudget(store, 'b1', 'op3', 7)])
    expect((await readBudget(store, 'b1')).unwrap()?.grantedTokens).toBe(157)
  })

  it('refuses an operation id with another amount and a budget of another organisation', async () => {
    const store = new MemoryStore()
    await createStoredBudget(store, added)
    expect((await topUpStoredBudget(store, 'b1', 'op1', 7)).unwrapErr().kind).toBe('operationReused')
    expect((await createStoredBudget(store, { ...added, organisation: 'o2' })).unwrapErr().kind).toBe('budgetExists')
    expect((await topUpStoredBudget(store, 'b1', 'op9', -5)).unwrapErr().kind).toBe('badAmount')
    expect((await topUpStoredBudget(store, 'none', 'op9', 5)).unwrapErr().kind).toBe('unknownBudget')
  })

  it('reports an outage as unavailable, so that the operator repeats the operation', async () => {
    const store = new MemoryStore()
    await createStoredBudget(store, added)
    store.isDown = true
    expect((await topUpStoredBudget(store, 'b1', 'op2', 50)).unwrapErr().kind).toBe('unavailable')
  })

  it('never changes the number of shards, which would move budgets to other objects', async () => {
    const store = new MemoryStore()
    expect((await ensureBudgetLayout(store, 4)).unwrap().shards).toBe(4)
    expect((await ensureBudgetLayout(store, 8)).unwrap().shards).toBe(4)
  })

  it('lists the budgets of one organisation over all shards', async () => {
    const store = new MemoryStore()
    for (const budget of ['b3', 'b1', 'b2']) await createStoredBudget(store, { ...added, budget })
    await createStoredBudget(store, { ...added, budget: 'other', organisation: 'o2' })
    expect((await readOrganisationBudgets(store, 'o1')).unwrap().map(report => report.budget)).toEqual(['b1', 'b2', 'b3'])
  })
})

describe('stored form', () => {
  it('keeps every field over a round trip', () => {
    const shard = {
      budgets: new Map([['__proto__', {
        organisation: 'o1',
        grantedTokens: 10,
        spentTokens: 1,
        topUps: [{ operationId: '7', tokens: 10 }],
        slices: [{ holder: 'r1.a', capTokens: 5, settledTokens: 2 }, { holder: 'r2.b', capTokens: 4, settledTokens: 0 }]
      }]]),
      settledSeqs: new Map([['r1.a', 3], ['r2.b', 0]])
    }
    expect(decodeShard(JSON.parse(JSON.stringify(encodeShard(shard)))).unwrap()).toEqual(shard)
  })

  it('rejects a slice of an unknown holder instead of dropping its tokens', () => {
    expect(decodeShard({ f: 1, h: [], b: [['b', 'o', 10, 0, [], [0, 5, 0]]] }).isErr()).toBe(true)
  })
})
