/** Where the claim on a key is kept, and how shards pass from one process to another. */
import { createHash } from 'node:crypto'
import { isSameProcess, type ClaimLayout, type ClaimProcess, type ClaimShardLayout } from './claimTypes.ts'

/** Hexadecimal digits of a key hash that choose its shard. */
const shardDigits = 8

/** Shard of a key. */
export function claimShardOf (keyHash: string, shards: number): number {
  return Number.parseInt(keyHash.slice(0, shardDigits), 16) % shards
}

export interface ClaimShardLocation extends ClaimShardLayout {
  readonly shard: number
}

/** Where a router asks for the claim on a key: the owner, or the witness when the owner does not answer. */
export function locateClaimShard (layout: ClaimLayout, keyHash: string): ClaimShardLocation | undefined {
  if (layout.shards.length === 0) return undefined
  const shard = claimShardOf(keyHash, layout.shards.length)
  const found = layout.shards[shard]
  return found === undefined ? undefined : { ...found, shard }
}

function weightOf (shard: number, process: ClaimProcess): string {
  return createHash('sha256').update(`${shard}/${process.id}/${process.incarnation}`).digest('hex')
}

/** Processes by rendezvous hash, the first choice first. */
function rank (shard: number, processes: readonly ClaimProcess[]): readonly ClaimProcess[] {
  const weighted = processes.map(process => ({ process, weight: weightOf(shard, process) }))
  return weighted.sort((one, other) => one.weight < other.weight ? 1 : -1).map(({ process }) => process)
}

/** Witness for an owner: in another failure domain where there is one. */
export function chooseWitness (shard: number, owner: ClaimProcess, candidates: readonly ClaimProcess[]): ClaimProcess | undefined {
  const others = rank(shard, candidates.filter(candidate => candidate.id !== owner.id))
  return others.find(other => other.failureDomain !== owner.failureDomain) ?? others[0]
}

/** The first layout of a service, or `undefined` without endpoint processes. */
export function createClaimLayout (shards: number, processes: readonly ClaimProcess[]): ClaimLayout | undefined {
  const layouts: ClaimShardLayout[] = []
  for (let shard = 0; shard < shards; shard += 1) {
    const owner = rank(shard, processes)[0]
    if (owner === undefined) return undefined
    layouts.push(shardLayout(1, owner, chooseWitness(shard, owner, processes), 0))
  }
  return { shards: layouts }
}

/** The process that acts for a shard whose owner and witness are lost. */
export function caretakerOf (shard: number, processes: readonly ClaimProcess[]): ClaimProcess | undefined {
  return rank(shard, processes)[0]
}

export function shardLayout (epoch: number, owner: ClaimProcess, witness: ClaimProcess | undefined, unknownForMs: number): ClaimShardLayout {
  return { epoch, owner, ...(witness === undefined ? {} : { witness }), unknownForMs }
}

/** Whether a registered process is this one, in this life. */
export function isRegistered (process: ClaimProcess, registered: readonly ClaimProcess[]): boolean {
  return registered.some(other => isSameProcess(other, process))
}
