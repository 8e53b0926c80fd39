/** `buckthorndrift status`, `services`, `rollouts` and `drain` */
import { command, positional, string } from 'cmd-ts'
import { exitCodes } from '../../shared/exitCodes.ts'
import { formatTime } from '../../shared/times.ts'
import { connectionArgs, jsonArg, withConnection } from '../connection.ts'
import { print, printJson, printTable } from '../output.ts'

export const statusCommand = command({
  name: 'status',
  description: 'Show the fleet text in force and the processes of the fleet.',
  args: { json: jsonArg, ...connectionArgs },
  handler: ({ json, ...flags }) => withConnection(flags, async ({ call }) => {
    const [fleet, members, followers] = await Promise.all([call('readFleet', {}), call('listMembers', {}), call('listFollowers', {})])
    if (fleet.isErr()) return fleet.error
    if (members.isErr()) return members.error
    if (followers.isErr()) return followers.error
    const { text: _, ...applied } = fleet.value
    const followersById = new Map(followers.value.followers.map(follower => [follower.id, follower]))
    const processes = members.value.items.map(member => ({
      ...member, fleetVersion: followersById.get(member.id)?.version ?? null, follows: followersById.get(member.id)?.state ?? 'notReported'
    }))
    if (json) {
      printJson({ fleet: applied, processes })
      return exitCodes.done
    }
    print(applied.version === 0 ? 'No fleet text has been applied yet.' : `Fleet text version ${applied.version}, applied by ${applied.appliedBy} at ${formatTime(applied.appliedAtMs)}`)
    const rows = processes.map(item => [
      item.id, item.role, item.failureDomain, item.vm, item.service === undefined ? '' : `${item.service} ${item.version ?? ''}`, item.state, item.fleetVersion === null ? item.follows : `${item.follows} ${item.fleetVersion}`
    ])
    printTable(['PROCESS', 'ROLE', 'FAILURE DOMAIN', 'VM', 'SERVICE', 'STATE', 'FLEET TEXT'], rows, 'No processes are registered.')
    return exitCodes.done
  })
})

export const servicesCommand = command({
  name: 'services',
  description: 'List services with their versions and endpoint processes.',
  args: { json: jsonArg, ...connectionArgs },
  handler: ({ json, ...flags }) => withConnection(flags, async ({ call }) => {
    const listed = await call('listServices', {})
    if (listed.isErr()) return listed.error
    if (json) {
      printJson(listed.value.items)
      return exitCodes.done
    }
    const rows = listed.value.items.flatMap(service => service.versions.map(version => [
      service.name, service.kind, version.name, version.endpoints, version.leaving, version.moveByMs === undefined ? '' : formatTime(version.moveByMs), service.dependsOn.join(', ')
    ]))
    printTable(['SERVICE', 'KIND', 'VERSION', 'ENDPOINTS', 'LEAVING', 'MOVE BY', 'DEPENDS ON'], rows, 'The fleet text lists no services. Apply one with: buckthorndrift apply <file>')
    return exitCodes.done
  })
})

export const rolloutsCommand = command({
  name: 'rollouts',
  description: 'List rollouts with the traffic share of the new version and the reason for a rollback.',
  args: { json: jsonArg, ...connectionArgs },
  handler: ({ json, ...flags }) => withConnection(flags, async ({ call }) => {
    const listed = await call('listRollouts', {})
    if (listed.isErr()) return listed.error
    if (json) printJson(listed.value.items)
    else {
      const rows = listed.value.items.map(item => [
        item.service, item.baseline, item.target, `${Math.round(item.targetShare * 100)} %`, item.phase, item.moveByMs === undefined ? '' : formatTime(item.moveByMs), item.reason ?? ''
      ])
      printTable(['SERVICE', 'FROM', 'TO', 'SHARE', 'PHASE', 'MOVE BY', 'REASON'], rows, 'There are no rollouts.')
    }
    return exitCodes.done
  })
})

export const drainCommand = command({
  name: 'drain',
  description: 'Start a graceful shutdown of a process: it accepts no new requests and finishes those in flight.',
  args: { member: positional({ displayName: 'process', type: string, description: 'id of the process, from status' }), json: jsonArg, ...connectionArgs },
  handler: ({ member, json, ...flags }) => withConnection(flags, async ({ call }) => {
    const drained = await call('drainMember', { member })
    if (drained.isErr()) return drained.error
    if (json) printJson(drained.value)
    else print(`Process ${member} is shutting down; it disappears from buckthorndrift status when it has stopped.`)
    return exitCodes.done
  })
})
