/** Conditional updates of one object, repeated until they are known to have taken effect. */
import { Err, Ok, type Result } from 'ts-results-es'
import type { TimerService } from '@buckthorndrift/kernel'
import type { ObjectStore, StoredObject, StoreFailure } from './objectStore.ts'

/**
 * Returns the new value, or `undefined` when nothing is to be written. It is
 * called again after conflicts and lost replies, so it recognises its own
 * earlier write by an identity in the value (an operation id, a holder, an
 * absolute value) and then returns `undefined`.
 */
export type ObjectUpdate = (present: StoredObject | undefined) => unknown

export interface UpdateOptions {
  /** Present object as far as known; saves the first read. */
  readonly known?: StoredObject
  /** Writes at most, 8. */
  readonly maxAttempts?: number
  /** With both, attempts after a conflict are spread by a jittered pause. */
  readonly timers?: TimerService
  readonly random?: () => number
}

export interface UpdatedObject {
  /** The object after the update; `undefined` when there is none and none was written. */
  readonly object: StoredObject | undefined
  /** False when the update function had nothing to write in any attempt. */
  readonly isWritten: boolean
}

const defaultAttempts = 8
const longestPauseMs = 1000

/** State of the attempts: `openVersion` is the version under which a write without an answer may still take effect. */
interface Progress {
  openVersion: number | undefined
  isWritten: boolean
}

function closeOpenWrite (progress: Progress, present: StoredObject | undefined): void {
  // A write that expects an older version than the present one cannot take effect any more.
  if ((present?.version ?? 0) !== progress.openVersion) progress.openVersion = undefined
}

function failure (cause: StoreFailure, progress: Progress): StoreFailure {
  if (progress.openVersion === undefined) return cause
  const detail = cause.kind === 'conflict' ? 'conflicts with other writers' : cause.detail
  return { kind: 'unavailable', mayHaveApplied: true, detail }
}

async function pause (options: UpdateOptions, attempt: number): Promise<void> {
  const { timers, random } = options
  if (timers === undefined || random === undefined) return
  const pauseMs = Math.min(longestPauseMs, 10 * 2 ** attempt) * random()
  await new Promise<void>(resolve => { timers.after(pauseMs, resolve) })
}

/**
 * Applies `update` by conditional writes. On `unavailable` with
 * `mayHaveApplied` nobody can tell whether the last write took effect; a later
 * call with the same update finds out.
 */
export async function updateObject (store: ObjectStore, name: string, update: ObjectUpdate, options: UpdateOptions = {}): Promise<Result<UpdatedObject, StoreFailure>> {
  const progress: Progress = { openVersion: undefined, isWritten: false }
  let known = options.known
  for (let attempt = 0; attempt < (options.maxAttempts ?? defaultAttempts); attempt += 1) {
    if (attempt > 0) await pause(options, attempt)
    const read = known === undefined ? await store.read(name) : Ok(known)
    if (read.isErr()) return Err(failure(read.error, progress))
    const present = read.value
    closeOpenWrite(progress, present)
    const value = update(present)
    if (value === undefined) return finishWithoutWrite(present, progress)
    const written = await store.write(name, value, present?.version ?? 0)
    if (written.isOk()) return Ok({ object: { name, version: written.value, value }, isWritten: true })
    if (written.error.kind === 'rejected') return Err(failure(written.error, progress))
    if (written.error.kind === 'unavailable') {
      if (!written.error.mayHaveApplied) return Err(failure(written.error, progress))
      progress.openVersion = present?.version ?? 0
      progress.isWritten = true
    }
    known = undefined
  }
  return Err(failure({ kind: 'unavailable', mayHaveApplied: false, detail: `${name} is changed by too many writers` }, progress))
}

function finishWithoutWrite (present: StoredObject | undefined, progress: Progress): Result<UpdatedObject, StoreFailure> {
  if (progress.openVersion !== undefined) {
    return Err({ kind: 'unavailable', mayHaveApplied: true, detail: 'an unanswered write may still take effect' })
  }
  return Ok({ object: present, isWritten: progress.isWritten })
}
