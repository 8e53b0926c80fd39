import { describe, expect, it } from 'vitest'
import { chat } from '../callers.ts'
import { setFaults } from '../standIns.ts'
import { applyFleetText, exampleText, expectOk, startExampleFleet, until } from '../setUp.ts'

const moveByMs = 90_000
const rollbackLimitMs = 45_000
const requestIntervalMs = 15

/** The example text with a second version of carebot. */
async function textWithNewVersion (): Promise<string> {
  const moveBy = new Date(Date.now() + moveByMs).toISOString()
  const text = await exampleText()
  return text.replace('      - name: v1\n', `      - name: v1\n      - name: v2\n        moveBy: ${moveBy}\n`)
}

describe('rollout on real processes', () => {
  it('takes a failing version back after a small share of the traffic, and callers get their answers meanwhile', async () => {
    const { fleet, key } = await startExampleFleet(10_000_000)
    try {
      const bad = await fleet.startEndpoint({ id: 'carebot-new', service: 'carebot', version: 'v2', kind: 'model', failureDomain: 'a' })
      await setFaults(bad.backEndUrl, { badVersion: { failureShare: 1 } })
      const { admin } = fleet.routers[0]!
      await applyFleetText(admin, await textWithNewVersion())
      const statuses: number[] = []
      let number = 0
      const timer = setInterval(() => {
        const { callerUrl } = fleet.routers[number++ % fleet.routers.length]!
        void chat(callerUrl, { key, model: 'carebot', prompt: 'x', maxTokens: 2 }).then(answer => { statuses.push(answer.status) }, () => { statuses.push(0) })
      }, requestIntervalMs)
      try {
        const rollout = await until('the rollout is rolled back', rollbackLimitMs, async () => {
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
