/** `buckthorndrift router` */
import { command } from 'cmd-ts'
import { settingFlags } from '@buckthorndrift/kernel'
import { routerSettings, runRouter } from '@buckthorndrift/router'

export const routerCommand = command({
  name: 'router',
  description: 'Run a router process. Each option can also be set as an environment variable, such as BUCKTHORNDRIFT_FLEET_SECRET; see docs/settings.md.',
  args: settingFlags(routerSettings),
  handler: flags => runRouter(flags)
})
