/**
 * Assignment of the shards of idempotency key claims to endpoint processes. Each
 * shard has an owner, which grants claims, and a witness, which stores a copy of
 * them. Both are chosen by rendezvous hashing.
 */
import { createHash } from 'node:crypto'
import { isSameProcess, type ClaimLayout, type ClaimProcess, type ClaimShardLayout } from './claimTypes.ts'

/** Number of leading hexadecimal digits of a key hash that determine its shard. */
const shardHashDigits = 8

/** Number of the shard that holds the claim on a key, in a layout of `shards` shards. */
export function claimShardOf (keyHash: string, shards: number): number {
  return Number.parseInt(keyHash.slice(0, shardHashDigits), 16) % shards
}

export interface ClaimShardLocation extends ClaimShardLayout {
  readonly shard: number
}

/**
 * Finds the shard that holds the claim on a key; `undefined` when the layout has
 * no shards. A router asks the owner of the shard, or the witness when the owner
 * does not answer.
 */
export function locateClaimShard (layout: ClaimLayout, keyHash: string): ClaimShardLocation | undefined {
  if (layout.shards.length === 0) return undefined
  const shard = claimShardOf(keyHash, layout.shards.length)
  const found = layout.shards[shard]
  return found === undefined ? undefined : { ...found, shard }
}

function rendezvousWeight (shard: number, process: ClaimProcess): string {
  return createHash('sha256').update(`${shard}/${process.id}/${process.incarnation}`).digest('hex')
}

/** Sorts processes by their rendezvous hash for a shard, the preferred one first. */
function rankByWeight (shard: number, processes: readonly ClaimProcess[]): readonly ClaimProcess[] {
  const weighted = processes.map(process => ({ process, weight: rendezvousWeight(shard, process) }))
  return weighted.sort((one, other) => one.weight < other.weight ? 1 : -1).map(({ process }) => process)
}

/** Chooses the witness of a shard, from another failure domain than the owner where possible. */
export function chooseWitness (shard: number, owner: ClaimProcess, candidates: readonly ClaimProcess[]): ClaimProcess | undefined {
  const others = rankByWeight(shard, candidates.filter(candidate => candidate.id !== owner.id))
  return others.find(other => other.failureDomain !== owner.failureDomain) ?? others[0]
}

/** Creates the first layout of a service; `undefined` when the service has no endpoint processes. */
export function createClaimLayout (shards: number, processes: readonly ClaimProcess[]): ClaimLayout | undefined {
  const layouts: ClaimShardLayout[] = []
  for (let shard = 0; shard < shards; shard += 1) {
    const owner = rankByWeight(shard, processes)[0]
    if (owner === undefined) return undefined
    layouts.push(createShardLayout(1, owner, chooseWitness(shard, owner, processes), 0))
  }
  return { shards: layouts }
}

/** The process that rendezvous hashing prefers as owner. It also takes a shard whose owner and witness are both lost. */
export function findPreferredOwner (shard: number, processes: readonly ClaimProcess[]): ClaimProcess | undefined {
  return rankByWeight(shard, processes)[0]
}

export function createShardLayout (epoch: number, owner: ClaimProcess, witness: ClaimProcess | undefined, unknownForMs: number): ClaimShardLayout {
  return { epoch, owner, ...(witness === undefined ? {} : { witness }), unknownForMs }
}

/** Whether this incarnation of a process is registered. */
export function isRegistered (process: ClaimProcess, registered: readonly ClaimProcess[]): boolean {
  return registered.some(other => isSameProcess(other, process))
}
