/** Operations that operators carry out on stored budgets: create, top up and read. */
import { Err, Ok, type Result } from 'ts-results-es'
import {
  assertShardWrite, createBudget, freeTokens, shardOf, topUpBudget,
  type BudgetChangeError, type BudgetEntry, type BudgetShard, type NewBudget
} from '@buckthorndrift/policy'
import type { ObjectStore, StoreFailure } from '../objectStore.ts'
import { decodeShard, encodeShard } from './codec.ts'
import { budgetLayoutObject, budgetLayoutSchema, budgetShardObject, defaultBudgetShards, type BudgetLayout } from './layout.ts'

/** Maximum attempts of one operation. Conflicts are common, because routers write the same objects. */
const maxAttempts = 20

/** Number of shards read in parallel when all are read; bounded to stay within the platform's rate limits. */
const parallelReads = 8

export type BudgetOperationError =
  | BudgetChangeError
  /** The platform did not answer. A retry with the same operation id is safe, since the operation takes effect once. */
  | { readonly kind: 'unavailable', readonly detail: string }
  /** A stored object does not match its schema. */
  | { readonly kind: 'malformed', readonly detail: string }

/** State of a budget for reports, in tokens. */
export interface BudgetReport {
  readonly budget: string
  readonly organisation: string
  readonly grantedTokens: number
  /** Tokens known to be spent. Tokens that routers have spent from their slices but not yet written to the platform count as `heldTokens`. */
  readonly spentTokens: number
  /** Tokens that are allocated to slices of routers and not known to be spent. */
  readonly heldTokens: number
  readonly freeTokens: number
  readonly topUps: readonly { readonly operationId: string, readonly tokens: number }[]
}

interface VersionedShard {
  readonly version: number
  readonly shard: BudgetShard
}

function unavailable (failure: StoreFailure): BudgetOperationError {
  return { kind: 'unavailable', detail: failure.kind === 'conflict' ? 'too many conflicting writes' : failure.detail }
}

/** Reads the budget layout, and creates it with `shards` shards if it does not exist. The number of shards never changes afterwards. */
export async function ensureBudgetLayout (store: ObjectStore, shards = defaultBudgetShards): Promise<Result<BudgetLayout, BudgetOperationError>> {
  for (let attempt = 0; attempt < maxAttempts; attempt++) {
    const present = await store.read(budgetLayoutObject)
    if (present.isErr()) return Err(unavailable(present.error))
    if (present.value !== undefined) {
      const layout = budgetLayoutSchema.safeParse(present.value.value)
      return layout.success ? Ok(layout.data) : Err({ kind: 'malformed', detail: `${budgetLayoutObject} is malformed` })
    }
    const written = await store.write(budgetLayoutObject, { shards }, 0)
    if (written.isOk()) return Ok({ shards })
    if (written.error.kind !== 'conflict') return Err(unavailable(written.error))
  }
  return Err({ kind: 'unavailable', detail: 'too many conflicting writes' })
}

/** Reads and decodes one shard. */
export async function readBudgetShard (store: ObjectStore, shard: number): Promise<Result<VersionedShard, BudgetOperationError>> {
  const present = await store.read(budgetShardObject(shard))
  if (present.isErr()) return Err(unavailable(present.error))
  const decoded = decodeShard(present.value?.value)
  if (decoded.isErr()) return Err({ kind: 'malformed', detail: decoded.error })
  return Ok({ version: present.value?.version ?? 0, shard: decoded.value })
}

/**
 * Applies an operator's change to the shard of a budget. If the reply to a write
 * is lost, the shard is read and `change` is called again. If `change` finds its
 * operation id in the shard, it returns the same shard and nothing is written.
 */
async function changeShard (store: ObjectStore, budget: string, change: (shard: BudgetShard) => Result<BudgetShard, BudgetChangeError>): Promise<Result<BudgetReport, BudgetOperationError>> {
  const layout = await ensureBudgetLayout(store)
  if (layout.isErr()) return layout
  const shardNumber = shardOf(budget, layout.value.shards)
  let lastError: BudgetOperationError = { kind: 'unavailable', detail: 'too many conflicting writes' }
  for (let attempt = 0; attempt < maxAttempts; attempt++) {
    const present = await readBudgetShard(store, shardNumber)
    if (present.isErr()) return present
    const changed = change(present.value.shard)
    if (changed.isErr()) return changed
    const report = () => Ok(reportOf(budget, changed.value.budgets.get(budget) as BudgetEntry))
    if (changed.value === present.value.shard) return report()
    assertShardWrite(present.value.shard, changed.value, { kind: 'operator' })
    const written = await store.write(budgetShardObject(shardNumber), encodeShard(changed.value), present.value.version)
    if (written.isOk()) return report()
    lastError = unavailable(written.error)
    const canRetry = written.error.kind === 'conflict' || (written.error.kind === 'unavailable' && written.error.mayHaveApplied)
    if (!canRetry) return Err(lastError)
  }
  return Err(lastError)
}

/** Creates a budget with its first grant, in tokens. Idempotent for the same operation id. */
export function createStoredBudget (store: ObjectStore, newBudget: NewBudget): Promise<Result<BudgetReport, BudgetOperationError>> {
  return changeShard(store, newBudget.budget, shard => createBudget(shard, newBudget))
}

/** Adds paid tokens to a budget. Idempotent for the same operation id. */
export function topUpStoredBudget (store: ObjectStore, budget: string, operationId: string, tokens: number): Promise<Result<BudgetReport, BudgetOperationError>> {
  return changeShard(store, budget, shard => topUpBudget(shard, budget, operationId, tokens))
}

function reportOf (budget: string, entry: BudgetEntry): BudgetReport {
  const settledTokens = entry.slices.reduce((sum, slice) => sum + slice.settledTokens, 0)
  const capTokens = entry.slices.reduce((sum, slice) => sum + slice.capTokens, 0)
  return {
    budget,
    organisation: entry.organisation,
    grantedTokens: entry.grantedTokens,
    spentTokens: entry.spentTokens + settledTokens,
    heldTokens: capTokens - settledTokens,
    freeTokens: freeTokens(entry),
    topUps: entry.topUps
  }
}

/** Reads one budget; `undefined` if it does not exist. */
export async function readBudget (store: ObjectStore, budget: string): Promise<Result<BudgetReport | undefined, BudgetOperationError>> {
  const layout = await ensureBudgetLayout(store)
  if (layout.isErr()) return layout
  const present = await readBudgetShard(store, shardOf(budget, layout.value.shards))
  if (present.isErr()) return present
  const entry = present.value.shard.budgets.get(budget)
  return Ok(entry === undefined ? undefined : reportOf(budget, entry))
}

/**
 * Reads all budgets of an organisation, ordered by name. Takes one read per
 * shard; if the names are known, `readBudget` is cheaper.
 */
export async function readOrganisationBudgets (store: ObjectStore, organisation: string): Promise<Result<readonly BudgetReport[], BudgetOperationError>> {
  const layout = await ensureBudgetLayout(store)
  if (layout.isErr()) return layout
  const reports: BudgetReport[] = []
  for (let first = 0; first < layout.value.shards; first += parallelReads) {
    const numbers = Array.from({ length: Math.min(parallelReads, layout.value.shards - first) }, (_, index) => first + index)
    for (const present of await Promise.all(numbers.map(shard => readBudgetShard(store, shard)))) {
      if (present.isErr()) return present
      const own = [...present.value.shard.budgets].filter(([, entry]) => entry.organisation === organisation)
      reports.push(...own.map(([budget, entry]) => reportOf(budget, entry)))
    }
  }
  return Ok(reports.sort((a, b) => a.budget < b.budget ? -1 : 1))
}
