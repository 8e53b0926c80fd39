import { describe, expect, it } from 'vitest'
import { chat } from '../callers.ts'
import { setFaults } from '../standIns.ts'
import { applyFleetText, readExampleFleetText, expectOk, startExampleFleet, waitUntil } from '../setUp.ts'

const moveByDelayMs = 90_000
const rollbackTimeoutMs = 45_000
const requestIntervalMs = 15

/** The example fleet text with a second version of carebot. */
async function textWithNewVersion (): Promise<string> {
  const moveBy = new Date(Date.now() + moveByDelayMs).toISOString()
  const text = await readExampleFleetText()
  return text.replace('      - name: v1\n', `      - name: v1\n      - name: v2\n        moveBy: ${moveBy}\n`)
}

describe('rollout on real processes', () => {
  it('rolls back a failing version before it fails more than a small share of the requests', async () => {
    const { fleet, key } = await startExampleFleet(10_000_000)
    try {
      const badEndpoint = await fleet.startEndpoint({ id: 'carebot-new', service: 'carebot', version: 'v2', kind: 'model', failureDomain: 'a' })
      await setFaults(badEndpoint.backEndUrl, { badVersion: { failureShare: 1 } })
      const { admin } = fleet.routers[0]!
      await applyFleetText(admin, await textWithNewVersion())
      const statuses: number[] = []
      let number = 0
      const timer = setInterval(() => {
        const { callerUrl } = fleet.routers[number++ % fleet.routers.length]!
        void chat(callerUrl, { key, model: 'carebot', prompt: 'x', maxTokens: 2 }).then(response => { statuses.push(response.status) }, () => { statuses.push(0) })
      }, requestIntervalMs)
      try {
        const rollout = await waitUntil('the rollout is rolled back', rollbackTimeoutMs, async () => {
          const { items } = await expectOk(admin.call('listRollouts', {}))
          return items.find(item => item.service === 'carebot' && item.phase === 'rolledBack')
        })
        expect(rollout).toMatchObject({ targetShare: 0 })
      } finally {
        clearInterval(timer)
      }
      const failed = statuses.filter(status => status !== 200).length
      expect(failed / statuses.length).toBeLessThan(0.05)
    } finally {
      await fleet.stop()
    }
  })
})
