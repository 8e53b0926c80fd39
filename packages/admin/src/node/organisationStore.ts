/** Storage of organisations and the API key directory in the platform's object store. */
import { createHash } from 'node:crypto'
import { Ok, type Result } from 'ts-results-es'
import type { Documents, ObjectStore } from '@buckthorndrift/coordination'
import { directoryDocument, directoryShardOf, directoryShardSchema, type DirectoryKey, type DirectoryShard } from '@buckthorndrift/policy'
import {
  findOrganisation, organisationObjectName, organisationShardSchema, type OrganisationShard, type StoredOrganisation
} from '../shared/organisations/organisationShard.ts'
import { storeProblem, type AdminProblem } from '../shared/problem.ts'
import { changeObject, type ObjectUpdate } from './changeObject.ts'

/** Returns the SHA-256 of a text in hex. */
export function sha256 (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}

const parseShard = (value: unknown): OrganisationShard => organisationShardSchema.parse(value ?? { organisations: {} })
const parseDirectory = (value: unknown): DirectoryShard => directoryShardSchema.parse(value ?? { keys: {} })

export class OrganisationStore {
  readonly #store: ObjectStore
  readonly #documents: Documents

  constructor (store: ObjectStore, documents: Documents) {
    this.#store = store
    this.#documents = documents
  }

  /** Reads an organisation from the platform. */
  async find (name: string): Promise<Result<StoredOrganisation, AdminProblem>> {
    const shard = await this.readShard(organisationObjectName(sha256(name)))
    return shard.andThen(found => findOrganisation(found, name))
  }

  /** Reads an object `organisations/<shard>`; it is empty when it was never written. */
  async readShard (object: string): Promise<Result<OrganisationShard, AdminProblem>> {
    const read = await this.#store.read(object)
    return read.mapErr(storeProblem).map(found => parseShard(found?.value))
  }

  /** Changes the shard that contains the organisation, and returns the organisation. */
  async change (name: string, change: Pick<ObjectUpdate<OrganisationShard>, 'apply' | 'isApplied'>): Promise<Result<StoredOrganisation, AdminProblem>> {
    const changed = await changeObject(this.#store, { ...change, name: organisationObjectName(sha256(name)), parse: parseShard })
    return changed.andThen(({ value }) => findOrganisation(value, name))
  }

  /** Adds an API key to the directory, from which routers authenticate callers. This makes the key valid. */
  publishKey (hash: string, owner: DirectoryKey): Promise<Result<void, AdminProblem>> {
    return this.#changeDirectory(hash, {
      apply: shard => Ok({ keys: { ...shard.keys, [hash]: owner } }),
      isApplied: shard => Object.hasOwn(shard.keys, hash)
    })
  }

  /** Removes an API key from the directory, from which routers authenticate callers. This makes the key invalid. */
  withdrawKey (hash: string): Promise<Result<void, AdminProblem>> {
    return this.#changeDirectory(hash, {
      apply ({ keys: { [hash]: _, ...keys } }) { return Ok({ keys }) },
      isApplied: shard => !Object.hasOwn(shard.keys, hash)
    })
  }

  async #changeDirectory (hash: string, change: Pick<ObjectUpdate<DirectoryShard>, 'apply' | 'isApplied'>): Promise<Result<void, AdminProblem>> {
    const changed = await changeObject(this.#store, { ...change, name: directoryDocument(directoryShardOf(hash)), parse: parseDirectory })
    if (changed.isErr()) return changed
    this.#documents.learn(changed.value)
    return Ok(undefined)
  }
}
