/** `buckthorndrift budgets` and `buckthorndrift top-up` */
import { randomUUID } from 'node:crypto'
import { command, number, option, optional, positional, string, subcommands } from 'cmd-ts'
import type { CallInputOf, OutputOf } from '@buckthorndrift/admin'
import { exitCodes, type ExitCode } from '../../shared/exitCodes.ts'
import { connectionArgs, jsonArg, withConnection } from '../connection.ts'
import { printError, printJson, printTable } from '../output.ts'
import { organisationArg } from './organisations.ts'

type BudgetFigures = OutputOf<'readBudget'>

const budgetArg = positional({ displayName: 'budget', type: string, description: 'name of the budget' })
const tokensArg = option({ long: 'tokens', type: number, description: 'tokens to grant' })
const operationIdArg = option({ long: 'operation-id', type: optional(string), description: 'id of this grant; repeating it with the same id grants no further tokens (default: a new id)' })

function printBudgets (budgets: readonly BudgetFigures[], emptyNote: string): void {
  const rows = budgets.map(budget => [budget.name, budget.grantedTokens, budget.spentTokens, budget.heldTokens, budget.freeTokens] as const)
  printTable(['BUDGET', 'GRANTED', 'SPENT', 'HELD', 'FREE'], rows, emptyNote)
}

/** After a failure with unknown outcome, prints how to retry the grant without granting twice. Returns the exit code unchanged. */
function adviseRetry (exitCode: ExitCode, operationId: string): ExitCode {
  if (exitCode === exitCodes.unreachable) printError(`To retry without granting twice, add: --operation-id ${operationId}`)
  return exitCode
}

type GrantInput = Omit<CallInputOf<'topUpBudget'>, 'operationId'> & { readonly operationId: string | undefined }

const grantArgs = { organisation: organisationArg, budget: budgetArg, tokens: tokensArg, operationId: operationIdArg, json: jsonArg, ...connectionArgs }

function grant (name: 'createBudget' | 'topUpBudget', { organisation, budget, tokens, operationId: givenId, json, ...flags }: GrantInput & { readonly json: boolean, readonly url: string | undefined, readonly keyFile: string | undefined }): Promise<ExitCode> {
  const operationId = givenId ?? randomUUID()
  return withConnection(flags, async ({ call }) => {
    const result = name === 'createBudget'
      ? await call('createBudget', { organisation, name: budget, grantedTokens: tokens, operationId })
      : await call('topUpBudget', { organisation, budget, tokens, operationId })
    if (result.isErr()) return adviseRetry(result.error, operationId)
    if (json) printJson({ ...result.value, operationId })
    else printBudgets([result.value], '')
    return exitCodes.done
  })
}

export const budgetsCommand = subcommands({
  name: 'budgets',
  description: 'List, read and create the budgets of an organisation.',
  cmds: {
    list: command({
      name: 'list',
      description: 'List the budgets of an organisation with granted, spent, held and free tokens.',
      args: { organisation: organisationArg, json: jsonArg, ...connectionArgs },
      handler: ({ organisation, json, ...flags }) => withConnection(flags, async ({ call }) => {
        const listed = await call('listBudgets', { organisation })
        if (listed.isErr()) return listed.error
        if (json) printJson(listed.value.items)
        else printBudgets(listed.value.items, `Organisation ${organisation} has no budgets.`)
        return exitCodes.done
      })
    }),
    show: command({
      name: 'show',
      description: 'Show a budget.',
      args: { organisation: organisationArg, budget: budgetArg, json: jsonArg, ...connectionArgs },
      handler: ({ organisation, budget, json, ...flags }) => withConnection(flags, async ({ call }) => {
        const read = await call('readBudget', { organisation, budget })
        if (read.isErr()) return read.error
        if (json) printJson(read.value)
        else printBudgets([read.value], '')
        return exitCodes.done
      })
    }),
    create: command({
      name: 'create',
      description: 'Create a budget with its first tokens.',
      args: grantArgs,
      handler: input => grant('createBudget', input)
    })
  }
})

export const topUpCommand = command({
  name: 'top-up',
  description: 'Grant further tokens to a budget, once per operation id.',
  args: grantArgs,
  examples: [{ description: 'can be retried after a lost reply', command: 'buckthorndrift top-up acme main --tokens 50000 --operation-id invoice-1742' }],
  handler: input => grant('topUpBudget', input)
})
