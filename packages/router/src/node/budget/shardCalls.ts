/** Reads and conditional writes of shards on the object store. */
import type { Log } from '@buckthorndrift/kernel'
import type { BudgetShard, ReadOutcome, WriteOutcome } from '@buckthorndrift/policy'
import { budgetShardObject, decodeShard, encodeShard, type ObjectStore } from '@buckthorndrift/coordination'

export async function readShard (store: ObjectStore, log: Log, shard: number): Promise<ReadOutcome> {
  const present = await store.read(budgetShardObject(shard))
  if (present.isErr()) return { kind: 'failed' }
  const decoded = decodeShard(present.value?.value)
  if (decoded.isErr()) {
    log.event('budgetShardMalformed', { shard, detail: decoded.error })
    return { kind: 'failed' }
  }
  return { kind: 'read', version: present.value?.version ?? 0, shard: decoded.value }
}

export async function writeShard (store: ObjectStore, log: Log, shard: number, value: BudgetShard, expectedVersion: number): Promise<WriteOutcome> {
  const written = await store.write(budgetShardObject(shard), encodeShard(value), expectedVersion)
  if (written.isOk()) return { kind: 'written', version: written.value }
  const failure = written.error
  if (failure.kind === 'conflict') return { kind: 'conflict' }
  const mayHaveApplied = failure.kind === 'unavailable' && failure.mayHaveApplied
  log.event('budgetWriteFailed', { shard, detail: failure.detail, mayHaveApplied })
  return { kind: mayHaveApplied ? 'unknown' : 'refused' }
}
