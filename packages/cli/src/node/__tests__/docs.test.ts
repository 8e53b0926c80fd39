import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { describe, expect, it } from 'vitest'
import { endpointSettings } from '@buckthorndrift/endpoint'
import { describeEvents, describeSettings, flagName } from '@buckthorndrift/kernel'
import { routerSettings } from '@buckthorndrift/router'

const root = fileURLToPath(new URL('../../../../../', import.meta.url))
const page = (name: string): string => readFileSync(join(root, 'docs', name), 'utf8')

describe('generated pages (npx tsc -b && node scripts/writeDocs.mjs)', () => {
  it('docs/events.md matches the event catalogue', () => { expect(page('events.md')).toBe(describeEvents()) })

  it('docs/settings.md matches the settings of the processes', () => {
    expect(page('settings.md')).toBe(describeSettings({ 'Router process': routerSettings, 'Endpoint process': endpointSettings }))
  })
})

describe('docs/OPERATIONS.md', () => {
  it('mentions only flags and commands that exist, because operators rely on it during an outage', () => {
    const settings = [...Object.keys(routerSettings), ...Object.keys(endpointSettings)].map(flagName)
    const sources = readdirSync(join(root, 'packages/cli/src/node'), { recursive: true, encoding: 'utf8' })
      .filter(file => file.endsWith('.ts') && !file.includes('__tests__'))
      .map(file => readFileSync(join(root, 'packages/cli/src/node', file), 'utf8')).join('\n')
    const flags = [...page('OPERATIONS.md').matchAll(/--[a-z][a-z-]+/g)].map(([flag]) => flag)
    const commands = [...page('OPERATIONS.md').matchAll(/buckthorndrift ([a-z][a-z-]+)/g)].map(([, name]) => name)
    expect(flags.filter(flag => !settings.includes(flag) && !sources.includes(`long: '${flag.slice(2)}'`))).toEqual([])
    expect(commands.filter(name => !sources.includes(`name: '${name}'`))).toEqual([])
    expect([flags.length > 10, commands.length > 10]).toEqual([true, true])
  })
})
