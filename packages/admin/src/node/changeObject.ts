/** Conditional updates of one object that can also be refused for a reason in its value. */
import { Ok, type Result } from 'ts-results-es'
import { updateObject, type ObjectStore } from '@buckthorndrift/coordination'
import { refuse, storeProblem, type AdminProblem } from '../shared/problem.ts'

/** The platform rejects values above a megabyte; the bound leaves room for the difference in encoding. */
export const maxObjectBytes = 1_000_000

export interface ObjectUpdate<Value> {
  readonly name: string
  /** Reads a stored value, `undefined` when there is no object. Throws when it has another shape. */
  parse (value: unknown): Value
  apply (value: Value): Result<Value, AdminProblem>
  /** Whether the value holds this change already; asked from the second attempt on, because the first may have taken effect. */
  isApplied (value: Value): boolean
}

export interface ChangedObject<Value> {
  readonly name: string
  readonly version: number
  readonly value: Value
}

function checkSize<Value> (name: string, value: Value): Result<Value, AdminProblem> {
  if (Buffer.byteLength(JSON.stringify(value)) <= maxObjectBytes) return Ok(value)
  return refuse('tooLarge', `the change would make ${name} larger than the platform takes`)
}

/** Reads, changes and writes an object until the write is confirmed or a problem stands. */
export async function changeObject<Value> (store: ObjectStore, update: ObjectUpdate<Value>): Promise<Result<ChangedObject<Value>, AdminProblem>> {
  const { name } = update
  let isRepeat = false
  let decided: Result<Value, AdminProblem> = refuse('internal', `${name} was not changed`)
  const written = await updateObject(store, name, present => {
    const value = update.parse(present?.value)
    if (isRepeat && update.isApplied(value)) {
      decided = Ok(value)
      return undefined
    }
    isRepeat = true
    decided = update.apply(value).andThen(changed => checkSize(name, changed))
    return decided.isOk() ? decided.value : undefined
  })
  if (written.isErr()) return written.mapErr(storeProblem)
  const version = written.value.object?.version ?? 0
  return decided.map(value => ({ name, version, value }))
}
