import { describe, expect, it } from 'vitest'
import { createGatewayMetrics } from '../gatewayMetrics.ts'

describe('createGatewayMetrics', () => {
  it('serves the open requests as they are when the metrics are read', async () => {
    let open = 2
    const { registry } = createGatewayMetrics(() => open)
    expect(await registry.metrics()).toContain('buckthorndrift_open_requests 2')
    open = 5
    expect(await registry.metrics()).toContain('buckthorndrift_open_requests 5')
  })

  it('counts by few labels only', async () => {
    const metrics = createGatewayMetrics(() => 0)
    metrics.retries.inc({ service: 'desk' })
    expect(await metrics.registry.metrics()).toContain('buckthorndrift_retries_total{service="desk"} 1')
  })
})
