/** Compare-and-set updates of one object, retried after conflicts and unanswered writes. */
import { Err, Ok, type Result } from 'ts-results-es'
import type { TimerService } from '@buckthorndrift/kernel'
import type { ObjectStore, StoredObject, StoreFailure } from './objectStore.ts'

/**
 * Returns the new value, or `undefined` if there is nothing to write. The
 * function must be idempotent: it is called again after conflicts and lost
 * replies. It has to recognise its own earlier write by something in the value,
 * such as an operation id, a holder or an absolute value, and then return
 * `undefined`.
 */
export type ObjectUpdate = (present: StoredObject | undefined) => unknown

export interface UpdateOptions {
  /** Last known state of the object; saves the first read. */
  readonly known?: StoredObject
  /** Maximum number of attempts; 8 by default. */
  readonly maxAttempts?: number
  /** If `timers` and `random` are both given, retries wait for an exponential backoff with jitter. */
  readonly timers?: TimerService
  readonly random?: () => number
}

export interface UpdatedObject {
  /** The object after the update; `undefined` if it does not exist and was not written. */
  readonly object: StoredObject | undefined
  /** False if the object was not written. True also if an earlier attempt got no answer, since its write may have taken effect. */
  readonly isWritten: boolean
}

const defaultMaxAttempts = 8
const maxBackoffMs = 1000

/** State kept across attempts. */
interface Progress {
  /** Version that an unanswered write expected. That write may still take effect while the object is at this version. */
  unansweredVersion: number | undefined
  isWritten: boolean
}

function clearSettledWrite (progress: Progress, present: StoredObject | undefined): void {
  // An unanswered write can no longer take effect once the object has another version than it expects.
  if ((present?.version ?? 0) !== progress.unansweredVersion) progress.unansweredVersion = undefined
}

/** Returns the failure to report. It has `mayHaveApplied` set while an unanswered write of an earlier attempt may still take effect. */
function failureAfter (cause: StoreFailure, progress: Progress): StoreFailure {
  if (progress.unansweredVersion === undefined) return cause
  const detail = cause.kind === 'conflict' ? 'conflicts with other writers' : cause.detail
  return { kind: 'unavailable', mayHaveApplied: true, detail }
}

async function backOff (options: UpdateOptions, attempt: number): Promise<void> {
  const { timers, random } = options
  if (timers === undefined || random === undefined) return
  const backoffMs = Math.min(maxBackoffMs, 10 * 2 ** attempt) * random()
  await new Promise<void>(resolve => { timers.after(backoffMs, resolve) })
}

/**
 * Applies `update` by compare-and-set, and retries after conflicts and
 * unanswered writes. If it fails as `unavailable` with `mayHaveApplied`, it is
 * unknown whether the last write took effect. A later call with the same update
 * resolves this.
 */
export async function updateObject (store: ObjectStore, name: string, update: ObjectUpdate, options: UpdateOptions = {}): Promise<Result<UpdatedObject, StoreFailure>> {
  const progress: Progress = { unansweredVersion: undefined, isWritten: false }
  let known = options.known
  for (let attempt = 0; attempt < (options.maxAttempts ?? defaultMaxAttempts); attempt += 1) {
    if (attempt > 0) await backOff(options, attempt)
    const read = known === undefined ? await store.read(name) : Ok(known)
    if (read.isErr()) return Err(failureAfter(read.error, progress))
    const present = read.value
    clearSettledWrite(progress, present)
    const value = update(present)
    if (value === undefined) return finishWithoutWrite(present, progress)
    const written = await store.write(name, value, present?.version ?? 0)
    if (written.isOk()) return Ok({ object: { name, version: written.value, value }, isWritten: true })
    if (written.error.kind === 'rejected') return Err(failureAfter(written.error, progress))
    if (written.error.kind === 'unavailable') {
      if (!written.error.mayHaveApplied) return Err(failureAfter(written.error, progress))
      progress.unansweredVersion = present?.version ?? 0
      progress.isWritten = true
    }
    known = undefined
  }
  return Err(failureAfter({ kind: 'unavailable', mayHaveApplied: false, detail: `too many conflicting writes to ${name}` }, progress))
}

function finishWithoutWrite (present: StoredObject | undefined, progress: Progress): Result<UpdatedObject, StoreFailure> {
  if (progress.unansweredVersion !== undefined) {
    return Err({ kind: 'unavailable', mayHaveApplied: true, detail: 'an unanswered write may still take effect' })
  }
  return Ok({ object: present, isWritten: progress.isWritten })
}
