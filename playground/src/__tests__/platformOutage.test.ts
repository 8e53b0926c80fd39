import { describe, expect, it } from 'vitest'
import { chat, send } from '../callers.ts'
import { setFaults } from '../standIns.ts'
import { expectOk, startExampleFleet, waitUntil } from '../setUp.ts'

const hourMs = 3_600_000
const recordsTimeoutMs = 20_000

describe('platform outage on real processes', () => {
  it('serves requests from the budget slices that routers hold, and stores every billing record and refusal after the outage', async () => {
    const { fleet, key } = await startExampleFleet(100_000)
    try {
      const urls = fleet.routers.map(router => router.callerUrl)
      for (const url of urls) await chat(url, { key, model: 'carebot', prompt: 'before', maxTokens: 8 })
      await setFaults(fleet.platformUrl, { outage: true })
      const served: string[] = []
      for (let number = 0; number < 20; number++) {
        const response = await chat(urls[number % urls.length]!, { key, model: 'carebot', prompt: `during ${number}`, maxTokens: 8 })
        expect(response.status, response.text).toBe(200)
        served.push((JSON.parse(response.text) as { id: string }).id)
      }
      const refused = await send('POST', `${urls[0]!}/services/boarding-desk/nothing`, {}, { key })
      expect(refused.headers['bd-verdict']).toBe('notRun')
      await setFaults(fleet.platformUrl, { outage: false })

      const { admin } = fleet.routers[1]!
      const range = { fromMs: Date.now() - hourMs, toMs: Date.now() + hourMs, organisation: 'tortoise-house', limit: 1000 }
      const billed = await waitUntil('all requests are billed', recordsTimeoutMs, async () => {
        const { items } = await expectOk(admin.call('listBilling', range))
        const ids = new Set(items.map(item => item.requestId))
        return served.every(id => ids.has(id)) ? items : undefined
      })
      expect(new Set(billed.map(item => item.requestId)).size).toBe(billed.length)
      await waitUntil('the refusal is stored', recordsTimeoutMs, async () => {
        const { items } = await expectOk(admin.call('listRefusals', { ...range, reason: 'unknownCall' }))
        return items.length === 1 && items[0]!.count === 1 ? true : undefined
      })
    } finally {
      await fleet.stop()
    }
  })
})
