import { describe, expect, it } from 'vitest'
import { startRelay } from '@buckthorndrift/standins'
import { chat } from '../callers.ts'
import { applyFleetText, createOrganisation, readExampleFleetText, expectOk, examplePlan, waitUntil, waitUntilServing } from '../setUp.ts'
import { startFleet } from '../fleet.ts'

const grantedTokens = 3000
const topUpTokens = 2000
const recordsTimeoutMs = 20_000
const hourMs = 3_600_000

describe('partition on real processes', () => {
  it('spends no more tokens than granted while one router is partitioned and the budget is topped up through the other', async () => {
    const platformRelay = await startRelay()
    const controlRelay = await startRelay()
    const fleet = await startFleet([], [])
    platformRelay.setTarget(fleet.platformUrl)
    try {
      const connectedRouter = await fleet.startRouter(examplePlan.routers[1]!)
      // The router registers the URL of the relay as its control URL, so it is started with both relays. The control relay gets its target once the control port is known.
      const starting = fleet.startRouter({ ...examplePlan.routers[0]!, settings: { platformUrl: platformRelay.url, controlUrl: controlRelay.url } })
      await Promise.all(examplePlan.endpoints.map(plan => fleet.startEndpoint(plan)))
      const isolatedRouter = await starting
      controlRelay.setTarget(`http://127.0.0.1:${isolatedRouter.controlPort}`)
      await applyFleetText(connectedRouter.admin, await readExampleFleetText())
      const key = await createOrganisation(connectedRouter.admin, 'tortoise-house', grantedTokens)
      for (const router of [connectedRouter, isolatedRouter]) await waitUntilServing(router.callerUrl, key)

      const spendAndCountRefusals = async (requests: number): Promise<number> => {
        const sendOne = (number: number) => chat((number % 2 === 0 ? connectedRouter : isolatedRouter).callerUrl, { key, model: 'carebot', prompt: `p${number}`, maxTokens: 30 })
        const responses = await Promise.all(Array.from({ length: requests }, (_, number) => sendOne(number)))
        return responses.filter(response => response.status === 402 || response.status === 503).length
      }
      await spendAndCountRefusals(10)
      platformRelay.cut()
      controlRelay.cut()
      await expectOk(connectedRouter.admin.call('topUpBudget', { organisation: 'tortoise-house', budget: 'main', tokens: topUpTokens, operationId: 'top-up-1' }))
      await expectOk(connectedRouter.admin.call('topUpBudget', { organisation: 'tortoise-house', budget: 'main', tokens: topUpTokens, operationId: 'top-up-1' }))
      await spendAndCountRefusals(60)
      platformRelay.heal()
      controlRelay.heal()
      const refused = await spendAndCountRefusals(60)
      expect(refused).toBeGreaterThan(0)

      const range = { fromMs: Date.now() - hourMs, toMs: Date.now() + hourMs, organisation: 'tortoise-house', limit: 1000 }
      const settled = await waitUntil('the spent tokens equal the billed tokens', recordsTimeoutMs, async () => {
        const { items: billing } = await expectOk(connectedRouter.admin.call('listBilling', range))
        const { items: [figures] } = await expectOk(connectedRouter.admin.call('listBudgets', { organisation: 'tortoise-house' }))
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
