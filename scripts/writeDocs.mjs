// Writes the generated pages in docs/. Run it after the build.
import { writeFileSync } from 'node:fs'
import { createOpenApi } from '@buckthorndrift/admin'
import { endpointSettings } from '@buckthorndrift/endpoint'
import { metricsPage } from '@buckthorndrift/gateway'
import { describeEvents, describeMetrics, describeSettings } from '@buckthorndrift/kernel'
import { routerSettings } from '@buckthorndrift/router'

const pages = {
  'events.md': describeEvents(),
  'metrics.md': await metricsPage(describeMetrics()),
  'settings.md': describeSettings({ 'Router process': routerSettings, 'Endpoint process': endpointSettings }),
  'openapi.json': `${JSON.stringify(createOpenApi(), null, 2)}\n`
}

for (const [name, text] of Object.entries(pages)) {
  writeFileSync(new URL(`../docs/${name}`, import.meta.url), text)
}
