/** Size and processor time of state that grows with the fleet: budgets, claims, slice entries, billing records and refusal accounts. */
import { createHash } from 'node:crypto'
import { ClaimShard, SliceEntries, type BudgetShard, type KeyClaim } from '@buckthorndrift/policy'
import { decodeShard, encodeShard } from '@buckthorndrift/coordination'
import type { BillingRecord, RefusalAccount } from '@buckthorndrift/protocol'
import { fitLine, type LinearFit } from '../../shared/linearFit.ts'
import { fitCpuPerItem, fitHeapPerItem } from './resourceSlopes.ts'

/** One slice per failure domain: the most that a budget has while all routers agree on its home routers. */
const slicesPerBudget = 4
const budgetCounts = [50, 100, 150, 300]
const claimCounts = [1000, 2000, 4000]
const entryCounts = [2000, 4000, 8000]
const cpuRepeats = 200

function createHolderId (number: number): string {
  return `router-${number}.3ef9536c-5df2-4256-a503-bf7a32d9b9b6`
}

function createBudgetShard (budgets: number): BudgetShard {
  const createEntry = (number: number) => ({
    organisation: `organisation-${Math.floor(number / 10)}`,
    grantedTokens: 10_000_000 + number,
    spentTokens: 1_234_567 + number,
    topUps: [{ operationId: `operation-${number}-1`, tokens: 5_000_000 }, { operationId: `operation-${number}-2`, tokens: 5_000_000 }],
    slices: Array.from({ length: slicesPerBudget }, (_, slice) => ({ holder: createHolderId(slice), capTokens: 500_000 + number, settledTokens: 400_000 + number }))
  })
  return {
    budgets: new Map(Array.from({ length: budgets }, (_, number) => [`organisation-${Math.floor(number / 10)}/budget-${number}`, createEntry(number)])),
    settledSeqs: new Map(Array.from({ length: slicesPerBudget }, (_, slice) => [createHolderId(slice), 123_456]))
  }
}

function storedBytes (shard: BudgetShard): number {
  return JSON.stringify(encodeShard(shard)).length
}

/** Stored bytes per budget, and processor time per budget to encode and decode a shard once. */
function measureBudgetSlopes () {
  const shards = new Map(budgetCounts.map(count => [count, createBudgetShard(count)]))
  return {
    storedBytesPerBudget: fitLine(budgetCounts.map(count => ({ x: count, y: storedBytes(shards.get(count)!) }))),
    writeUsPerBudget: fitCpuPerItem(budgetCounts, cpuRepeats, count => {
      const text = JSON.stringify(encodeShard(shards.get(count)!))
      decodeShard(JSON.parse(text)).unwrap()
    })
  }
}

function createClaim (number: number): KeyClaim {
  return {
    keyHash: createHash('sha256').update(String(number)).digest('hex'),
    contentHash: createHash('sha256').update(`content ${number}`).digest('hex'),
    requestId: `${createHolderId(1)}.${number}`,
    runner: { id: `endpoint-${number % 16}`, incarnation: '3ef9536c-5df2-4256-a503-bf7a32d9b9b6', url: 'http://10.0.0.1:7000' },
    idempotent: false
  }
}

function createClaimShard (claims: number): ClaimShard {
  const self = { id: 'witness', incarnation: '1', url: 'http://10.0.0.1:7000', vm: 'vm-1', failureDomain: 'a' }
  const owner = { ...self, id: 'owner' }
  const shard = new ClaimShard({ service: 's', shard: 0, self, retentionMs: 3_600_000, limit: 20_000, nowMs: () => 0, send: async () => undefined })
  shard.applyLayout({ epoch: 1, owner, witness: self, unknownForMs: 0 })
  shard.replicate({ service: 's', shard: 0, epoch: 1, claims: Array.from({ length: claims }, (_, number) => createClaim(number)), isComplete: true, unknownForMs: 0 })
  if (shard.size !== claims) throw new Error('the witness did not store all claims')
  return shard
}

function createSliceEntries (count: number): SliceEntries {
  const entries = new SliceEntries()
  for (let seq = 0; seq < count; seq++) {
    entries.reserve({ holder: createHolderId(seq % 16), shard: seq % 512, seq, tokens: 1000 }, `organisation-${seq}/main`, 0)
  }
  return entries
}

function jsonBytes (value: unknown): number {
  return JSON.stringify(value).length
}

function createBillingRecord (): BillingRecord {
  return {
    requestId: `${createHolderId(1)}.123456`,
    organisation: 'organisation-123',
    budget: 'organisation-123/budget-4',
    service: 'service-1',
    version: 'v1',
    route: 'POST /v1/chat/completions',
    tokens: 400,
    outcome: 'completed',
    atMs: 1_796_353_492_000,
    endpointId: 'endpoint-123',
    routerId: 'router-1',
    reservation: { holder: createHolderId(1), shard: 12, seq: 123_456, tokens: 900 }
  }
}

function createRefusalAccount (): RefusalAccount {
  return {
    accountId: `${createHolderId(1)}.123456`,
    number: 123_456,
    organisation: 'organisation-123',
    budget: 'organisation-123/budget-4',
    service: 'service-1',
    reason: 'budgetExhausted',
    verdict: 'notRun',
    routerId: 'router-1',
    secondMs: 1_796_353_492_000,
    count: 17
  }
}

export interface StateSlopes {
  readonly storedBytesPerBudget: LinearFit
  readonly writeUsPerBudget: LinearFit
  readonly heapBytesPerClaim: LinearFit
  readonly heapBytesPerSliceEntry: LinearFit
  readonly bytesPerBillingRecord: number
  readonly bytesPerRefusalAccount: number
}

export function measureStateSlopes (): StateSlopes {
  return {
    ...measureBudgetSlopes(),
    heapBytesPerClaim: fitHeapPerItem(claimCounts, createClaimShard),
    heapBytesPerSliceEntry: fitHeapPerItem(entryCounts, createSliceEntries),
    bytesPerBillingRecord: jsonBytes(createBillingRecord()),
    bytesPerRefusalAccount: jsonBytes(createRefusalAccount())
  }
}
