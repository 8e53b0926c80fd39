import { request } from 'undici'
import { describe, expect, it } from 'vitest'
import { chat, send, streamedText } from '../callers.ts'
import type { Fleet, RouterPlan, RunningRouter } from '../fleet.ts'
import { readInFlight, readRunCounts, setFaults, readSliceHolders } from '../standIns.ts'
import { expectOk, examplePlan, startExampleFleet, waitUntil, waitUntilServing } from '../setUp.ts'

const settings = { endpoints: { recordHandoverMs: 1000 } }
const grantedTokens = 50_000
const settleTimeoutMs = 40_000
const hourMs = 3_600_000

/** Returns a router that holds budget slices, and another router. The loss of the first is the harder case, because its slices have to be reclaimed. */
async function sliceHolderAndOther (fleet: Fleet): Promise<readonly [RunningRouter, RunningRouter]> {
  const holders = await readSliceHolders(fleet.platformUrl, fleet.routers.map(router => router.id))
  const holder = fleet.routers.find(router => holders.includes(router.id))
  const other = fleet.routers.find(router => router !== holder)
  if (holder === undefined || other === undefined) throw new Error('no router holds a slice')
  return [holder, other]
}

function planOf (router: RunningRouter): RouterPlan {
  return examplePlan.routers.find(plan => plan.id === router.id)!
}

/** Reads the start of a streamed response, then leaves the stream open. */
async function openStream (url: string, key: string, idempotencyKey: string, prompt: string, maxTokens: number): Promise<void> {
  const { body } = await request(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json', 'idempotency-key': idempotencyKey },
    body: JSON.stringify({ model: 'carebot', messages: [{ role: 'user', content: prompt }], max_tokens: maxTokens, stream: true })
  })
  body.on('error', () => {})
  await new Promise(resolve => { body.once('data', resolve) })
}

async function totalRuns (fleet: Fleet, kind: 'model' | 'plain', isCounted: (runId: string) => boolean): Promise<number> {
  const plan = examplePlan.endpoints.filter(endpoint => endpoint.kind === kind)
  const runs = await Promise.all(fleet.endpoints
    .filter(endpoint => plan.some(planned => endpoint.id.startsWith(planned.id)))
    .map(endpoint => readRunCounts(endpoint.backEndUrl, kind)))
  return runs.flatMap(Object.entries).filter(([runId]) => isCounted(runId)).reduce((sum, [, count]) => sum + count, 0)
}

describe('loss of a router on real processes', () => {
  it('gives the complete first response to a caller that retries with its idempotency key, and reclaims the slices of the killed router', async () => {
    const { fleet, key } = await startExampleFleet(grantedTokens, settings)
    try {
      const [killedRouter, survivingRouter] = await sliceHolderAndOther(fleet)
      const prompt = 'a long hibernation summary'
      await openStream(killedRouter.callerUrl, key, 'summary-1', prompt, 200)
      const booking = { id: 'check-in-1' }
      const deskEndpoints = fleet.endpoints.filter(endpoint => endpoint.id.startsWith('desk'))
      await Promise.all(deskEndpoints.map(endpoint => setFaults(endpoint.backEndUrl, { delayMs: 1000 })))
      const bookingUrl = (url: string) => `${url}/services/boarding-desk/bookings`
      const bookingFailure = send('POST', bookingUrl(killedRouter.callerUrl), booking, { key, idempotencyKey: 'booking-1' }).catch((error: unknown) => error)
      await waitUntil('a back end is running the booking', 5000, async () => {
        const inFlightCounts = await Promise.all(deskEndpoints.map(endpoint => readInFlight(endpoint.backEndUrl)))
        return inFlightCounts.some(count => count > 0) ? true : undefined
      })

      killedRouter.child.process.kill('SIGKILL')
      expect(await bookingFailure).toBeInstanceOf(Error)
      const resumed = await chat(survivingRouter.callerUrl, { key, idempotencyKey: 'summary-1', model: 'carebot', prompt, maxTokens: 200, isStreamed: true })
      expect(resumed.status, resumed.text).toBe(200)
      expect(streamedText(resumed).trim().split(' ')).toHaveLength(200)
      const booked = await send('POST', bookingUrl(survivingRouter.callerUrl), booking, { key, idempotencyKey: 'booking-1' })
      expect(booked.status, booked.text).toBe(201)
      expect(JSON.parse(booked.text)).toEqual({ id: booking.id, runs: 1 })
      expect(await totalRuns(fleet, 'plain', id => id === booking.id)).toBe(1)

      // A new incarnation replaces the killed one in the registry, so that the slices of the killed one can be reclaimed.
      const replacement = await fleet.startRouter(planOf(killedRouter))
      await waitUntilServing(replacement.callerUrl, key)
      const range = { fromMs: Date.now() - hourMs, toMs: Date.now() + hourMs, organisation: 'tortoise-house', limit: 1000 }
      await waitUntil('the spent tokens equal the billed tokens', settleTimeoutMs, async () => {
        const { items } = await expectOk(survivingRouter.admin.call('listBilling', range))
        const { items: [budget] } = await expectOk(survivingRouter.admin.call('listBudgets', { organisation: 'tortoise-house' }))
        const billedTokens = items.reduce((sum, item) => sum + item.tokens, 0)
        const isComplete = items.some(item => item.route === 'POST /bookings') && items.some(item => item.tokens >= 200)
        return isComplete && budget?.spentTokens === billedTokens ? true : undefined
      })
    } finally {
      await fleet.stop()
    }
  })

  it('fences a router that resumes after its slices were reclaimed, so that no tokens are spent twice', async () => {
    const { fleet, key } = await startExampleFleet(3000, settings)
    try {
      const [paused, other] = await sliceHolderAndOther(fleet)
      const spend = (url: string) => chat(url, { key, model: 'carebot', prompt: 'x', maxTokens: 40 }).catch(() => undefined)
      await Promise.all(Array.from({ length: 10 }, () => spend(paused.callerUrl)))
      paused.child.process.kill('SIGSTOP')
      const replacement = await fleet.startRouter(planOf(paused))
      await waitUntilServing(replacement.callerUrl, key)
      const urls = [replacement.callerUrl, other.callerUrl]
      await Promise.all(Array.from({ length: 80 }, (_, number) => spend(urls[number % urls.length]!)))
      paused.child.process.kill('SIGCONT')
      await Promise.all(Array.from({ length: 20 }, () => spend(paused.callerUrl)))
      const range = { fromMs: Date.now() - hourMs, toMs: Date.now() + hourMs, organisation: 'tortoise-house', limit: 1000 }
      const billedTokens = await waitUntil('the spent tokens equal the billed tokens', settleTimeoutMs, async () => {
        const { items } = await expectOk(other.admin.call('listBilling', range))
        const { items: [budget] } = await expectOk(other.admin.call('listBudgets', { organisation: 'tortoise-house' }))
        const billed = items.reduce((sum, item) => sum + item.tokens, 0)
        return budget?.spentTokens === billed ? billed : undefined
      })
      expect(billedTokens).toBeLessThanOrEqual(3000)
    } finally {
      await fleet.stop()
    }
  })
})
