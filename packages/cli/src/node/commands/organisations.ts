/** `buckthorndrift organisations` and `buckthorndrift keys` */
import { command, positional, string, subcommands } from 'cmd-ts'
import type { OutputOf } from '@buckthorndrift/admin'
import { exitCodes, type ExitCode } from '../../shared/exitCodes.ts'
import { formatTime } from '../../shared/times.ts'
import { connectionArgs, jsonArg, withConnection, type Connection } from '../connection.ts'
import { print, printError, printJson, printTable } from '../output.ts'

export const organisationArg = positional({ displayName: 'organisation', type: string, description: 'name of the organisation' })
const budgetArg = positional({ displayName: 'budget', type: string, description: 'name of the budget that the key spends from' })
const pageSize = 1000

type Summary = OutputOf<'listOrganisations'>['items'][number]
type Details = OutputOf<'readOrganisation'>

async function listAll ({ call }: Connection, json: boolean): Promise<ExitCode> {
  const items: Summary[] = []
  for (let after: string | undefined; ;) {
    const page = await call('listOrganisations', { limit: pageSize, ...(after === undefined ? {} : { after }) })
    if (page.isErr()) return page.error
    items.push(...page.value.items)
    after = page.value.next
    if (after === undefined) break
  }
  const sorted = items.toSorted((a, b) => a.name < b.name ? -1 : 1)
  if (json) printJson(sorted)
  else printTable(['ORGANISATION', 'BUDGETS', 'KEYS', 'CREATED'], sorted.map(item => [item.name, item.budgets, item.keys, formatTime(item.createdAtMs)]), 'There are no organisations. Create one with: buckthorndrift organisations create <name>')
  return exitCodes.done
}

function printDetails (details: Details): void {
  print(`${details.name}, created ${formatTime(details.createdAtMs)}`)
  print(`budgets: ${details.budgets.length === 0 ? 'none' : details.budgets.join(', ')}`)
  print(`keys: ${details.keys.length}`)
}

export const organisationsCommand = subcommands({
  name: 'organisations',
  description: 'List, read and create organisations.',
  cmds: {
    list: command({
      name: 'list',
      description: 'List all organisations.',
      args: { json: jsonArg, ...connectionArgs },
      handler: ({ json, ...flags }) => withConnection(flags, connection => listAll(connection, json))
    }),
    show: command({
      name: 'show',
      description: 'Show an organisation.',
      args: { organisation: organisationArg, json: jsonArg, ...connectionArgs },
      handler: ({ organisation, json, ...flags }) => withConnection(flags, async ({ call }) => {
        const read = await call('readOrganisation', { organisation })
        if (read.isErr()) return read.error
        if (json) printJson(read.value)
        else printDetails(read.value)
        return exitCodes.done
      })
    }),
    create: command({
      name: 'create',
      description: 'Create an organisation.',
      args: { organisation: organisationArg, json: jsonArg, ...connectionArgs },
      handler: ({ organisation, json, ...flags }) => withConnection(flags, async ({ call }) => {
        const created = await call('createOrganisation', { name: organisation })
        if (created.isErr()) return created.error
        if (json) printJson(created.value)
        else print(`Created organisation ${organisation}. Next: buckthorndrift budgets create ${organisation} <budget> --tokens <tokens>`)
        return exitCodes.done
      })
    })
  }
})

export const keysCommand = subcommands({
  name: 'keys',
  description: 'List, create and revoke the API keys of an organisation.',
  cmds: {
    list: command({
      name: 'list',
      description: 'List the keys of an organisation by their ids.',
      args: { organisation: organisationArg, json: jsonArg, ...connectionArgs },
      handler: ({ organisation, json, ...flags }) => withConnection(flags, async ({ call }) => {
        const read = await call('readOrganisation', { organisation })
        if (read.isErr()) return read.error
        if (json) printJson(read.value.keys)
        else printTable(['KEY ID', 'BUDGET', 'CREATED'], read.value.keys.map(key => [key.keyId, key.budget, formatTime(key.createdAtMs)]), `Organisation ${organisation} has no keys.`)
        return exitCodes.done
      })
    }),
    create: command({
      name: 'create',
      description: 'Create a key and print it on standard output. It cannot be shown again.',
      args: { organisation: organisationArg, budget: budgetArg, json: jsonArg, ...connectionArgs },
      handler: ({ organisation, budget, json, ...flags }) => withConnection(flags, async ({ call }) => {
        const created = await call('createKey', { organisation, budget })
        if (created.isErr()) return created.error
        if (json) printJson(created.value)
        else print(created.value.key)
        printError(`Key ${created.value.keyId} spends from budget ${budget} of ${organisation}. It is stored as a hash and cannot be shown again.`)
        return exitCodes.done
      })
    }),
    revoke: command({
      name: 'revoke',
      description: 'Revoke a key. Routers refuse it within seconds.',
      args: { organisation: organisationArg, keyId: positional({ displayName: 'key-id', type: string, description: 'id of the key, from keys list' }), json: jsonArg, ...connectionArgs },
      handler: ({ organisation, keyId, json, ...flags }) => withConnection(flags, async ({ call }) => {
        const revoked = await call('revokeKey', { organisation, keyId })
        if (revoked.isErr()) return revoked.error
        if (json) printJson(revoked.value)
        else print(`Revoked key ${keyId} of ${organisation}.`)
        return exitCodes.done
      })
    })
  }
})
