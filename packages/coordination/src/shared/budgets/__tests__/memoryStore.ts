/** In-memory object store for budget tests, with scripted faults of reads and writes. */
import { Err, Ok, type Result } from 'ts-results-es'
import type { ObjectStore, StoredObject, StoreFailure } from '../../objectStore.ts'

export type WriteFault = 'lostReply' | 'outage'

export class MemoryStore implements ObjectStore {
  readonly objects = new Map<string, StoredObject>()
  /** Faults of the next writes, in order; `undefined` injects none into that write. */
  writeFaults: (WriteFault | undefined)[] = []
  isDown = false
  writes = 0
  reads = 0

  read = async (name: string): Promise<Result<StoredObject | undefined, StoreFailure>> => {
    this.reads += 1
    return this.isDown ? this.#outage(false) : Ok(this.objects.get(name))
  }

  write = async (name: string, value: unknown, expectedVersion: number): Promise<Result<number, StoreFailure>> => {
    this.writes += 1
    const fault = this.isDown ? 'outage' : this.writeFaults.shift()
    if (fault === 'outage') return this.#outage(false)
    const version = this.objects.get(name)?.version ?? 0
    if (version !== expectedVersion) return Err({ kind: 'conflict', version })
    // Values are converted to JSON and back, as on the platform, so that a test notices values that JSON cannot represent.
    this.objects.set(name, { name, version: version + 1, value: JSON.parse(JSON.stringify(value)) })
    return fault === 'lostReply' ? this.#outage(true) : Ok(version + 1)
  }

  remove = async (): Promise<Result<void, StoreFailure>> => this.#outage(false)
  list = async () => Ok([])
  watch = async () => Ok({ revision: 0, changes: [] })
  vms = async () => Ok([])

  #outage (mayHaveApplied: boolean): Result<never, StoreFailure> {
    return Err({ kind: 'unavailable', mayHaveApplied, detail: 'outage' })
  }
}
