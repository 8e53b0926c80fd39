import { describe, expect, it } from 'vitest'
import { ManualTimers, silentLog, silentMetrics, startKernel, definePlugin } from '@buckthorndrift/kernel'
import { createStoredBudget, membershipKey, objectStoreKey, readBudget, type Membership } from '@buckthorndrift/coordination'
import type { Member } from '@buckthorndrift/protocol'
import { budgetServiceKey, controlRegistryKey, createBudgetPlugin } from '../../../index.ts'
import { MemoryStore } from '../../../../../coordination/src/shared/budgets/__tests__/memoryStore.ts'

function memberOf (id: string): Member {
  return { id, incarnation: 'a', role: 'router', vm: id, failureDomain: 'd1', controlUrl: `http://${id}`, leaving: false }
}

async function startRouter (store: MemoryStore) {
  const self = memberOf('r1')
  const membership = {
    self, routers: () => [self], endpoints: () => [], noteUnreachable () {}, noteAlive () {}, isSuspected: () => false, subscribe: () => () => {}
  } satisfies Membership
  const base = definePlugin({
    name: 'base',
    setup (context) {
      context.provide(objectStoreKey, store)
      context.provide(membershipKey, membership)
      context.provide(controlRegistryKey, { register () {} })
      return {}
    }
  })
  const timers = new ManualTimers()
  const kernel = await startKernel({ timers, log: silentLog, metrics: silentMetrics, plugins: [base, createBudgetPlugin()] })
  return { kernel, timers, budgets: kernel.use(budgetServiceKey) }
}

describe('budget plugin', () => {
  it('reserves up to the grant, refuses beyond it and takes the remainder back', async () => {
    const store = new MemoryStore()
    await createStoredBudget(store, { budget: 'b1', organisation: 'o1', grantedTokens: 100, operationId: 'op1' })
    const { budgets } = await startRouter(store)
    const first = (await budgets.reserve('b1', 80, 1000)).unwrap()
    expect(first.reservation).toMatchObject({ holder: 'r1.a', tokens: 80 })
    expect((await budgets.reserve('b1', 30, 1000)).unwrapErr()).toMatchObject({ reason: 'budgetExhausted', verdict: { kind: 'notRun' } })
    budgets.settle('b1', first.reservation, 10)
    expect((await budgets.reserve('b1', 90, 1000)).isOk()).toBe(true)
  })

  it('returns unused tokens on graceful shutdown', async () => {
    const store = new MemoryStore()
    await createStoredBudget(store, { budget: 'b1', organisation: 'o1', grantedTokens: 100, operationId: 'op1' })
    const { kernel, timers, budgets } = await startRouter(store)
    const { reservation } = (await budgets.reserve('b1', 80, 1000)).unwrap()
    budgets.settle('b1', reservation, 10)
    const ticks = setInterval(() => { timers.advance(50) }, 1)
    await kernel.stop()
    clearInterval(ticks)
    expect((await readBudget(store, 'b1')).unwrap()).toMatchObject({ spentTokens: 10, heldTokens: 0, freeTokens: 90 })
  })
})
