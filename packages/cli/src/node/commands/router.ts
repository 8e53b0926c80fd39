/** `buckthorndrift router` */
import { command, option, optional, string } from 'cmd-ts'
import { flagName, type Setting } from '@buckthorndrift/kernel'
import { routerSettings, runRouter } from '@buckthorndrift/router'

function describe (setting: Setting): string {
  const unit = setting.kind === 'number' && setting.unit !== 'port' ? ` in ${setting.unit}` : ''
  const choices = setting.kind === 'choice' ? `: ${setting.choices.join(', ')}` : ''
  const initial = setting.default === undefined ? ' (required)' : setting.default === '' ? '' : ` (default: ${setting.default})`
  return `${setting.summary}${choices}${unit}${initial}`
}

const args = Object.fromEntries(Object.entries<Setting>(routerSettings).map(([name, setting]) => [
  name, option({ long: flagName(name).slice(2), type: optional(string), description: describe(setting) })
]))

export const routerCommand = command({
  name: 'router',
  description: 'Run a router process. Each option can also be set as a variable, such as BUCKTHORNDRIFT_FLEET_SECRET; see docs/settings.md.',
  args,
  handler: flags => runRouter(flags)
})
