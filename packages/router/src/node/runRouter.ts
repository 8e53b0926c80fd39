/** Starts the router process from its settings. */
import { createRoarrLog } from '@buckthorndrift/kernel'
import { resolveRouterSettings } from '../shared/routerSettings.ts'

export const exitFailed = 1
export const exitUsage = 2

/**
 * Runs a router until it is asked to stop. Resolves with the exit code: 0 after a
 * graceful shutdown, 1 when it failed, 2 when settings are wrong.
 */
export async function runRouter (flags: Readonly<Record<string, string | undefined>>): Promise<number> {
  const resolved = resolveRouterSettings({ flags, environment: process.env })
  if (resolved.isErr()) {
    createRoarrLog({ scope: 'router', level: 'info', base: {} }).event('settingsRejected', { problems: resolved.error.join('; ') })
    process.stderr.write(`The router cannot start because of its settings:\n${resolved.error.map(problem => `  ${problem}\n`).join('')}`)
    return exitUsage
  }
  process.stderr.write('The router cannot start: its plugins are not assembled in this version.\n')
  return exitFailed
}
