import { request } from 'undici'
import { describe, expect, it } from 'vitest'
import { chat, send, streamedText } from '../callers.ts'
import type { Fleet, RouterPlan, RunningRouter } from '../fleet.ts'
import { requestsHeld, runsOf, setFaults, sliceHolders } from '../standIns.ts'
import { expectOk, examplePlan, startExampleFleet, until, untilServing } from '../setUp.ts'

const settings = { endpoints: { recordHandoverMs: 1000 } }
const grantedTokens = 50_000
const settleLimitMs = 40_000
const hourMs = 3_600_000

/** The router that holds the slices, whose loss is the harder one, and another one. */
async function holderAndOther (fleet: Fleet): Promise<readonly [RunningRouter, RunningRouter]> {
  const holders = await sliceHolders(fleet.platformUrl, fleet.routers.map(router => router.id))
  const holder = fleet.routers.find(router => holders.includes(router.id))
  const other = fleet.routers.find(router => router !== holder)
  if (holder === undefined || other === undefined) throw new Error('no router holds a slice')
  return [holder, other]
}

function planOf (router: RunningRouter): RouterPlan {
  return examplePlan.routers.find(plan => plan.id === router.id)!
}

/** Reads the start of an answer, then leaves it open. */
async function openStream (url: string, key: string, idempotencyKey: string, prompt: string, maxTokens: number): Promise<void> {
  const { body } = await request(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json', 'idempotency-key': idempotencyKey },
    body: JSON.stringify({ model: 'carebot', messages: [{ role: 'user', content: prompt }], max_tokens: maxTokens, stream: true })
  })
  body.on('error', () => {})
  await new Promise(resolve => { body.once('data', resolve) })
}

async function totalRuns (fleet: Fleet, kind: 'model' | 'plain', id: (runId: string) => boolean): Promise<number> {
  const plan = examplePlan.endpoints.filter(endpoint => endpoint.kind === kind)
  const runs = await Promise.all(fleet.endpoints
    .filter(endpoint => plan.some(planned => endpoint.id.startsWith(planned.id)))
    .map(endpoint => runsOf(endpoint.backEndUrl, kind)))
  return runs.flatMap(Object.entries).filter(([runId]) => id(runId)).reduce((sum, [, count]) => sum + count, 0)
}

describe('loss of a router on real processes', () => {
  it('gives a caller that comes back with its key the first answer, whole, and reclaims the slices of the lost router', async () => {
    const { fleet, key } = await startExampleFleet(grantedTokens, settings)
    try {
      const [first, second] = await holderAndOther(fleet)
      const prompt = 'a long hibernation summary'
      await openStream(first.callerUrl, key, 'summary-1', prompt, 200)
      const booking = { id: 'check-in-1' }
      const desks = fleet.endpoints.filter(endpoint => endpoint.id.startsWith('desk'))
      await Promise.all(desks.map(desk => setFaults(desk.backEndUrl, { delayMs: 1000 })))
      const bookingUrl = (url: string) => `${url}/services/boarding-desk/bookings`
      const broken = send('POST', bookingUrl(first.callerUrl), booking, { key, idempotencyKey: 'booking-1' }).catch((error: unknown) => error)
      await until('a desk has the booking', 5000, async () => {
        const held = await Promise.all(desks.map(desk => requestsHeld(desk.backEndUrl)))
        return held.some(count => count > 0) ? true : undefined
      })

      first.child.process.kill('SIGKILL')
      expect(await broken).toBeInstanceOf(Error)
      const again = await chat(second.callerUrl, { key, idempotencyKey: 'summary-1', model: 'carebot', prompt, maxTokens: 200, isStreamed: true })
      expect(again.status, again.text).toBe(200)
      expect(streamedText(again).trim().split(' ')).toHaveLength(200)
      const booked = await send('POST', bookingUrl(second.callerUrl), booking, { key, idempotencyKey: 'booking-1' })
      expect(booked.status, booked.text).toBe(201)
      expect(JSON.parse(booked.text)).toEqual({ id: booking.id, runs: 1 })
      expect(await totalRuns(fleet, 'plain', id => id === booking.id)).toBe(1)

      // A new life of the same router takes the place of the lost one in the registry, so its slices can be reclaimed.
      const replacement = await fleet.startRouter(planOf(first))
      await untilServing(replacement.callerUrl, key)
      const range = { fromMs: Date.now() - hourMs, toMs: Date.now() + hourMs, organisation: 'tortoise-house', limit: 1000 }
      await until('spent tokens are those of the billing records', settleLimitMs, async () => {
        const { items } = await expectOk(second.admin.call('listBilling', range))
        const { items: [figures] } = await expectOk(second.admin.call('listBudgets', { organisation: 'tortoise-house' }))
        const billedTokens = items.reduce((sum, item) => sum + item.tokens, 0)
        const isComplete = items.some(item => item.route === 'POST /bookings') && items.some(item => item.tokens >= 200)
        return isComplete && figures?.spentTokens === billedTokens ? true : undefined
      })
    } finally {
      await fleet.stop()
    }
  })

  it('refuses what a router sends after a long pause under slices that were reclaimed, so that nothing is spent twice', async () => {
    const { fleet, key } = await startExampleFleet(3000, settings)
    try {
      const [paused, other] = await holderAndOther(fleet)
      const spend = (url: string) => chat(url, { key, model: 'carebot', prompt: 'x', maxTokens: 40 }).catch(() => undefined)
      await Promise.all(Array.from({ length: 10 }, () => spend(paused.callerUrl)))
      paused.child.process.kill('SIGSTOP')
      const replacement = await fleet.startRouter(planOf(paused))
      await untilServing(replacement.callerUrl, key)
      const urls = [replacement.callerUrl, other.callerUrl]
      await Promise.all(Array.from({ length: 80 }, (_, number) => spend(urls[number % urls.length]!)))
      paused.child.process.kill('SIGCONT')
      await Promise.all(Array.from({ length: 20 }, () => spend(paused.callerUrl)))
      const range = { fromMs: Date.now() - hourMs, toMs: Date.now() + hourMs, organisation: 'tortoise-house', limit: 1000 }
      const billedTokens = await until('spent tokens are those of the billing records', settleLimitMs, async () => {
        const { items } = await expectOk(other.admin.call('listBilling', range))
        const { items: [figures] } = await expectOk(other.admin.call('listBudgets', { organisation: 'tortoise-house' }))
        const billed = items.reduce((sum, item) => sum + item.tokens, 0)
        return figures?.spentTokens === billed ? billed : undefined
      })
      expect(billedTokens).toBeLessThanOrEqual(3000)
    } finally {
      await fleet.stop()
    }
  })
})
