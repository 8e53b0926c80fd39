/** Reads and conditional writes of budget shards in the object store. */
import type { Log } from '@buckthorndrift/kernel'
import type { BudgetShard, ReadOutcome, WriteOutcome } from '@buckthorndrift/policy'
import { budgetShardObject, decodeShard, encodeShard, type ObjectStore } from '@buckthorndrift/coordination'

/** Reads a shard; a malformed one is logged and counts as a failed read. */
export async function readShard (store: ObjectStore, log: Log, shard: number): Promise<ReadOutcome> {
  const stored = await store.read(budgetShardObject(shard))
  if (stored.isErr()) return { kind: 'failed' }
  const decoded = decodeShard(stored.value?.value)
  if (decoded.isErr()) {
    log.event('budgetShardMalformed', { shard, detail: decoded.error })
    return { kind: 'failed' }
  }
  return { kind: 'read', version: stored.value?.version ?? 0, shard: decoded.value }
}

/** Writes a shard if its version is `expectedVersion`. Outcome `unknown`: the write may have been applied. */
export async function writeShard (store: ObjectStore, log: Log, shard: number, value: BudgetShard, expectedVersion: number): Promise<WriteOutcome> {
  const written = await store.write(budgetShardObject(shard), encodeShard(value), expectedVersion)
  if (written.isOk()) return { kind: 'written', version: written.value }
  const failure = written.error
  if (failure.kind === 'conflict') return { kind: 'conflict' }
  const mayHaveApplied = failure.kind === 'unavailable' && failure.mayHaveApplied
  log.event('budgetWriteFailed', { shard, detail: failure.detail, mayHaveApplied })
  return { kind: mayHaveApplied ? 'unknown' : 'refused' }
}
