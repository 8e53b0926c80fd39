/** Updates one stored object by compare-and-set. The caller can refuse an update because of the object's present value. */
import { Ok, type Result } from 'ts-results-es'
import { updateObject, type ObjectStore } from '@buckthorndrift/coordination'
import { refuse, storeProblem, type AdminProblem } from '../shared/problem.ts'

/** The platform rejects values above a megabyte. The limit leaves room for differences in how the platform encodes a value. */
export const maxObjectBytes = 1_000_000

export interface ObjectUpdate<Value> {
  readonly name: string
  /** Validates the stored value, which is `undefined` when there is no object. Throws when it is malformed. */
  parse (value: unknown): Value
  /** Returns the changed value, or the problem for which the change is refused. */
  apply (value: Value): Result<Value, AdminProblem>
  /** Whether the value already contains this change. Called from the second attempt on, because an earlier write may have taken effect although its reply was lost. */
  isApplied (value: Value): boolean
}

export interface ChangedObject<Value> {
  readonly name: string
  readonly version: number
  readonly value: Value
}

function checkSize<Value> (name: string, value: Value): Result<Value, AdminProblem> {
  if (Buffer.byteLength(JSON.stringify(value)) <= maxObjectBytes) return Ok(value)
  return refuse('tooLarge', `the change would make ${name} larger than the platform accepts`)
}

/** Repeats reading, changing and writing an object until a write is confirmed, the change is refused or the store fails. */
export async function changeObject<Value> (store: ObjectStore, update: ObjectUpdate<Value>): Promise<Result<ChangedObject<Value>, AdminProblem>> {
  const { name } = update
  let isRetry = false
  let decision: Result<Value, AdminProblem> = refuse('internal', `${name} was not changed`)
  const written = await updateObject(store, name, stored => {
    const value = update.parse(stored?.value)
    if (isRetry && update.isApplied(value)) {
      decision = Ok(value)
      return undefined
    }
    isRetry = true
    decision = update.apply(value).andThen(changed => checkSize(name, changed))
    return decision.isOk() ? decision.value : undefined
  })
  if (written.isErr()) return written.mapErr(storeProblem)
  const version = written.value.object?.version ?? 0
  return decision.map(value => ({ name, version, value }))
}
