import { describe, expect, it } from 'vitest'
import { startLoad } from '../load.ts'
import { examplePlan, startExampleFleet, waitUntilServing } from '../setUp.ts'

/** Time for the routers to learn of a new endpoint before the old one stops. */
const discoveryDelayMs = 1500

function sleep (durationMs: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, durationMs) })
}

describe('rolling replacement on real processes', () => {
  it('replaces every process under load without a failed request, so that callers never notice a planned stop', async () => {
    const { fleet, key } = await startExampleFleet(1_000_000)
    try {
      const callerUrls = new Map(fleet.routers.map(router => [router.id, router.callerUrl]))
      const load = startLoad({ key, routers: () => [...callerUrls.values()], requestsPerSecond: 30 })
      for (const plan of examplePlan.endpoints) {
        const old = fleet.endpoints.find(endpoint => endpoint.id === plan.id)!
        await fleet.startEndpoint({ ...plan, id: `${plan.id}-2` })
        await sleep(discoveryDelayMs)
        old.child.process.kill('SIGTERM')
        expect(await old.child.exited, old.child.errorLines().join('\n')).toBe(0)
      }
      for (const plan of examplePlan.routers) {
        const old = fleet.routers.find(router => router.id === plan.id)!
        const replacement = await fleet.startRouter({ ...plan, id: `${plan.id}-2` })
        await waitUntilServing(replacement.callerUrl, key)
        callerUrls.set(replacement.id, replacement.callerUrl)
        old.child.process.kill('SIGTERM')
        expect(await old.child.exited, old.child.errorLines().join('\n')).toBe(0)
        callerUrls.delete(old.id)
      }
      const { failures, requests } = await load.stop()
      expect(failures).toEqual([])
      expect(requests).toBeGreaterThan(100)
    } finally {
      await fleet.stop()
    }
  })
})
