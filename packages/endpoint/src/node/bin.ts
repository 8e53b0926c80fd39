#!/usr/bin/env node
import { binary, command, run } from 'cmd-ts'
import { settingFlags } from '@buckthorndrift/kernel'
import { endpointSettings } from '../shared/endpointSettings.ts'
import { runEndpoint } from './runEndpoint.ts'

const endpoint = command({
  name: 'buckthorndrift-endpoint',
  description: 'The proxy that admits requests to one back end. Each option can also be set as an environment variable, such as BUCKTHORNDRIFT_FLEET_SECRET; see docs/settings.md.',
  args: settingFlags(endpointSettings),
  handler: flags => runEndpoint(flags)
})

process.exit(await run(binary(endpoint), process.argv))
