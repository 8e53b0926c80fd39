import { describe, expect, it } from 'vitest'
import { startRelay } from '@buckthorndrift/standins'
import { chat } from '../callers.ts'
import { applyFleetText, createOrganisation, exampleText, expectOk, examplePlan, until, untilServing } from '../setUp.ts'
import { startFleet } from '../fleet.ts'

const grantedTokens = 3000
const topUpTokens = 2000
const recordsLimitMs = 20_000
const hourMs = 3_600_000

describe('partition on real processes', () => {
  it('never spends more than was granted while one router is cut off and the budget is topped up on the other side', async () => {
    const platformRelay = await startRelay()
    const controlRelay = await startRelay()
    const fleet = await startFleet([], [])
    platformRelay.setTarget(fleet.platformUrl)
    try {
      const inside = await fleet.startRouter(examplePlan.routers[1]!)
      // Registration needs the relayed control URL, so the router is started through both relays.
      const starting = fleet.startRouter({ ...examplePlan.routers[0]!, settings: { platformUrl: platformRelay.url, controlUrl: controlRelay.url } })
      await Promise.all(examplePlan.endpoints.map(plan => fleet.startEndpoint(plan)))
      const outside = await starting
      controlRelay.setTarget(`http://127.0.0.1:${outside.controlPort}`)
      await applyFleetText(inside.admin, await exampleText())
      const key = await createOrganisation(inside.admin, 'tortoise-house', grantedTokens)
      for (const router of [inside, outside]) await untilServing(router.callerUrl, key)

      const spendSome = async (requests: number): Promise<number> => {
        const sendOne = (number: number) => chat((number % 2 === 0 ? inside : outside).callerUrl, { key, model: 'carebot', prompt: `p${number}`, maxTokens: 30 })
        const answers = await Promise.all(Array.from({ length: requests }, (_, number) => sendOne(number)))
        return answers.filter(answer => answer.status === 402 || answer.status === 503).length
      }
      await spendSome(10)
      platformRelay.cut()
      controlRelay.cut()
      await expectOk(inside.admin.call('topUpBudget', { organisation: 'tortoise-house', budget: 'main', tokens: topUpTokens, operationId: 'top-up-1' }))
      await expectOk(inside.admin.call('topUpBudget', { organisation: 'tortoise-house', budget: 'main', tokens: topUpTokens, operationId: 'top-up-1' }))
      await spendSome(60)
      platformRelay.heal()
      controlRelay.heal()
      const refused = await spendSome(60)
      expect(refused).toBeGreaterThan(0)

      const range = { fromMs: Date.now() - hourMs, toMs: Date.now() + hourMs, organisation: 'tortoise-house', limit: 1000 }
      const settled = await until('all spend is settled', recordsLimitMs, async () => {
        const { items: billing } = await expectOk(inside.admin.call('listBilling', range))
        const { items: [figures] } = await expectOk(inside.admin.call('listBudgets', { organisation: 'tortoise-house' }))
        const billedTokens = billing.reduce((sum, item) => sum + item.tokens, 0)
        return figures !== undefined && figures.spentTokens === billedTokens ? { billedTokens, figures } : undefined
      })
      expect(settled.figures.grantedTokens).toBe(grantedTokens + topUpTokens)
      expect(settled.billedTokens).toBeLessThanOrEqual(grantedTokens + topUpTokens)
    } finally {
      await fleet.stop()
      await platformRelay.close()
      await controlRelay.close()
    }
  })
})
