import { readFileSync } from 'node:fs'
import { describeMetrics } from '@buckthorndrift/kernel'
import { Err, Ok } from 'ts-results-es'
import { describe, expect, it } from 'vitest'
import type { FleetStore } from '../../shared/store.ts'
import { createGatewayMetrics, metricsPage, type GaugeSources } from '../gatewayMetrics.ts'
import { meteredStore } from '../meteredStore.ts'

const zero = (): number => 0
const zeroSources: GaugeSources = { openRequests: zero, resourceUse: zero, loopDelayMs: zero, storeAgeMs: zero, droppedLogLines: zero, evacuatedDomains: zero }

describe('createGatewayMetrics', () => {
  it('reads the number of open requests when the metrics are served', async () => {
    let open = 2
    const { registry } = createGatewayMetrics({ ...zeroSources, openRequests: () => open })
    expect(await registry.metrics()).toContain('buckthorndrift_open_requests 2')
    open = 5
    expect(await registry.metrics()).toContain('buckthorndrift_open_requests 5')
  })

  it('labels retries with the service only', async () => {
    const metrics = createGatewayMetrics(zeroSources)
    metrics.retries.inc({ service: 'desk' })
    expect(await metrics.registry.metrics()).toContain('buckthorndrift_retries_total{service="desk"} 1')
  })

  it('matches the generated documentation page docs/metrics.md', async () => {
    const page = await metricsPage(describeMetrics())
    expect(page).toContain('| `buckthorndrift_open_requests` | gauge | requests that are being answered |')
    expect(readFileSync(new URL('../../../../../docs/metrics.md', import.meta.url), 'utf8')).toBe(page)
  })
})

describe('meteredStore', () => {
  it('counts calls by outcome, so that conflicts and compactions show in the metrics', async () => {
    const metrics = createGatewayMetrics(zeroSources)
    const object = { name: 'firm', revision: 1, value: {}, status: null }
    const store: FleetStore = {
      era: () => 0,
      onRestored: () => () => {},
      list: () => Promise.resolve(Ok({ objects: [], revision: 1 })),
      watch: () => Promise.resolve(Err({ kind: 'compacted' })),
      read: () => Promise.resolve(Ok(object)),
      create: () => Promise.resolve(Ok(object)),
      replace: () => Promise.resolve(Err({ kind: 'conflict', object })),
      replaceStatus: () => Promise.resolve(Ok(object)),
      remove: () => Promise.resolve(Err({ kind: 'notFound' }))
    }
    const metered = meteredStore(store, metrics)
    await metered.replace('budgets', 'firm', {}, 1)
    await metered.watch('endpoints', 1, 0)
    const text = await metrics.registry.metrics()
    expect(text).toContain('buckthorndrift_store_calls_total{kind="budgets",operation="replace",outcome="conflict"} 1')
    expect(text).toContain('buckthorndrift_store_calls_total{kind="endpoints",operation="watch",outcome="compacted"} 1')
  })
})
