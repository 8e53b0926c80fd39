/** Conditional updates of one object, safe against lost replies and racing writers. */
import { Ok, type Result } from 'ts-results-es'
import type { ObjectStore } from '@buckthorndrift/platform'
import { refuse, storeProblem, type AdminProblem } from '../shared/problem.ts'

/** The platform rejects values above a megabyte; the bound leaves room for the difference in encoding. */
export const maxObjectBytes = 1_000_000
const maxAttempts = 8

export interface ObjectUpdate<Value> {
  readonly name: string
  /** Reads a stored value, `undefined` when there is no object. Throws when it has another shape. */
  parse (value: unknown): Value
  apply (value: Value): Result<Value, AdminProblem>
  /** Whether the value holds this change; asked after a write whose reply was lost. */
  isApplied (value: Value): boolean
}

export interface ChangedObject<Value> {
  readonly name: string
  readonly version: number
  readonly value: Value
}

/** Reads, changes and writes an object until the write is confirmed or a problem stands. */
export async function changeObject<Value> (store: ObjectStore, update: ObjectUpdate<Value>): Promise<Result<ChangedObject<Value>, AdminProblem>> {
  const { name } = update
  let mayHaveApplied = false
  for (let attempt = 0; attempt < maxAttempts; attempt++) {
    const read = await store.read(name)
    if (read.isErr()) {
      const problem = storeProblem(read.error)
      return refuse(problem.code, problem.detail, { mayHaveApplied })
    }
    const version = read.value?.version ?? 0
    const value = update.parse(read.value?.value)
    if (mayHaveApplied && update.isApplied(value)) return Ok({ name, version, value })
    const changed = update.apply(value)
    if (changed.isErr()) return changed
    if (Buffer.byteLength(JSON.stringify(changed.value)) > maxObjectBytes) return refuse('tooLarge', `the change would make ${name} larger than the platform takes`)
    const written = await store.write(name, changed.value, version)
    if (written.isOk()) return Ok({ name, version: written.value, value: changed.value })
    if (written.error.kind === 'rejected') return refuse('tooLarge', storeProblem(written.error).detail)
    if (written.error.kind === 'unavailable') {
      if (!written.error.mayHaveApplied) return refuse('unavailable', storeProblem(written.error).detail, { mayHaveApplied })
      mayHaveApplied = true
    }
  }
  return refuse('unavailable', `${name} is being changed by others all the time; repeat later`, { mayHaveApplied })
}
