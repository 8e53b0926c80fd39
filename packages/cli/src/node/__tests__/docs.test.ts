import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { describe, expect, it } from 'vitest'
import { describeEvents, describeMetrics, describeSettings, eventCatalogue, metricCatalogue } from '@buckthorndrift/kernel'
import { routerSettings } from '@buckthorndrift/router'

const root = fileURLToPath(new URL('../../../../../', import.meta.url))
const page = (name: string): string => readFileSync(join(root, 'docs', name), 'utf8')

describe('generated pages (npx tsc -b && node scripts/writeDocs.mjs)', () => {
  it('docs/events.md is fresh', () => { expect(page('events.md')).toBe(describeEvents()) })
  it('docs/metrics.md is fresh', () => { expect(page('metrics.md')).toBe(describeMetrics()) })

  it('docs/settings.md is fresh', async () => {
    const endpoint: { readonly endpointSettings?: typeof routerSettings } = await import('@buckthorndrift/endpoint') as object
    const processes = { 'Router process': routerSettings, ...(endpoint.endpointSettings === undefined ? {} : { 'Endpoint process': endpoint.endpointSettings }) }
    expect(page('settings.md')).toBe(describeSettings(processes))
  })
})

describe('event catalogue', () => {
  it('gives each number to one event', () => {
    const numbers = Object.values(eventCatalogue).map(event => event.number)
    expect(new Set(numbers).size).toBe(numbers.length)
  })
})

describe('metric catalogue', () => {
  it('names only tags and units that a reader can look up', () => {
    for (const [name, metric] of Object.entries(metricCatalogue)) {
      expect(name).toMatch(/^[a-z]+\.[a-zA-Z]+$/)
      expect(metric.summary).not.toBe('')
    }
  })
})
