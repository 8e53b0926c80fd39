/** Handlers of the budget operations. */
import { Ok, type Result } from 'ts-results-es'
import type { BudgetBalance } from '../../shared/budgetAdministration.ts'
import { addBudgetName, findOrganisation, fullBudgetName } from '../../shared/organisations/organisationShard.ts'
import type { OutputOf } from '../../shared/operations.ts'
import { refuse, type AdminProblem } from '../../shared/problem.ts'
import type { OrganisationStore } from '../organisationStore.ts'
import type { AdminServices, Handlers } from './handlers.ts'

function figuresOf (name: string, balance: BudgetBalance): OutputOf<'readBudget'> {
  const { grantedTokens, spentTokens, heldTokens } = balance
  return { name, grantedTokens, spentTokens, heldTokens, freeTokens: grantedTokens - spentTokens - heldTokens }
}

export function createBudgetHandlers (services: AdminServices, organisations: OrganisationStore): Pick<Handlers, 'listBudgets' | 'createBudget' | 'readBudget' | 'topUpBudget'> {
  async function readBudgets (organisation: string, names: readonly string[]): Promise<Result<OutputOf<'listBudgets'>, AdminProblem>> {
    const balances = await services.budgets.read(names.map(name => fullBudgetName(organisation, name)))
    return balances.map(found => ({
      items: names.flatMap(name => {
        const balance = found.get(fullBudgetName(organisation, name))
        return balance === undefined ? [] : [figuresOf(name, balance)]
      })
    }))
  }

  async function requireBudget (organisation: string, budget: string): Promise<Result<void, AdminProblem>> {
    const found = await organisations.find(organisation)
    return found.andThen(({ budgets }) => budgets.includes(budget) ? Ok(undefined) : refuse('notFound', `organisation ${organisation} has no budget ${budget}`))
  }

  return {
    async listBudgets ({ organisation }) {
      const found = await organisations.find(organisation)
      return found.isErr() ? found : readBudgets(organisation, found.value.budgets)
    },

    async createBudget ({ organisation, name, grantedTokens, operationId }, operator) {
      // The name is added to the organisation before the budget is created. In the opposite order, a failure in between could leave granted tokens in a budget that no organisation lists.
      const listed = await organisations.change(organisation, {
        apply: shard => addBudgetName(shard, organisation, name),
        isApplied: shard => findOrganisation(shard, organisation).map(found => found.budgets.includes(name)).unwrapOr(false)
      })
      if (listed.isErr()) return listed
      const created = await services.budgets.create(fullBudgetName(organisation, name), grantedTokens, operationId)
      if (created.isOk()) services.log.event('budgetCreated', { organisation, budget: name, grantedTokens, operationId, operator: operator.name })
      return created.map(balance => figuresOf(name, balance))
    },

    async readBudget ({ organisation, budget }) {
      const known = await requireBudget(organisation, budget)
      if (known.isErr()) return known
      const read = await readBudgets(organisation, [budget])
      return read.andThen(({ items: [figures] }) => figures === undefined
        ? refuse('notFound', `budget ${budget} of ${organisation} was not created completely; create it again with the same operation id`)
        : Ok(figures))
    },

    async topUpBudget ({ organisation, budget, tokens, operationId }, operator) {
      const known = await requireBudget(organisation, budget)
      if (known.isErr()) return known
      const balance = await services.budgets.topUp(fullBudgetName(organisation, budget), tokens, operationId)
      if (balance.isOk()) services.log.event('budgetToppedUp', { organisation, budget, tokens, operationId, operator: operator.name })
      return balance.map(found => figuresOf(budget, found))
    }
  }
}
