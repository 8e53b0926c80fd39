/**
 * The documents held by one process, and their comparison with those of another
 * process by digest. A digest maps document names to versions. A document only
 * replaces a lower version of itself, so documents may arrive in any order.
 *
 * The digest in an answer lists only the names whose versions still differ after
 * the caller has stored the documents of the answer. If the listed version is
 * lower than the caller's, the answering process requests that document. If it is
 * higher, the document did not fit into the answer.
 */
import type { Digest, ExchangeInput, ExchangeOutput } from '@buckthorndrift/protocol'
import type { StoredObject } from './objectStore.ts'

/** Maximum number of documents in one message; the schema of the protocol has the same limit. */
const maxDocuments = 200
/**
 * Maximum size of the documents in one message, so that it arrives within its
 * time limit on a slow link. Sizes are lengths of the JSON text. A single
 * larger document is sent alone.
 */
const maxMessageBytes = 500_000

interface HeldDocument {
  readonly document: StoredObject
  /** Length of the value as JSON text. */
  readonly jsonLength: number
}

export class DocumentTable {
  readonly #held = new Map<string, HeldDocument>()
  readonly #prefixes: readonly string[]
  #digest: Digest | undefined

  /** Documents whose name starts with none of `prefixes` are not stored. */
  constructor (prefixes: readonly string[]) {
    this.#prefixes = prefixes
  }

  get (name: string): StoredObject | undefined {
    return this.#held.get(name)?.document
  }

  /** Names of the documents held that start with `prefix`. */
  names (prefix: string): readonly string[] {
    return [...this.#held.keys()].filter(name => name.startsWith(prefix))
  }

  /** Version held of a document, 0 for none. */
  versionOf (name: string): number {
    return this.#held.get(name)?.document.version ?? 0
  }

  /** Stores a document and returns true, or returns false if it is not newer than the one held or outside the prefixes. */
  putIfNewer (document: StoredObject): boolean {
    const isAccepted = document.version > this.versionOf(document.name) && this.#prefixes.some(prefix => document.name.startsWith(prefix))
    if (!isAccepted) return false
    this.#held.set(document.name, { document, jsonLength: JSON.stringify(document.value).length })
    this.#digest = undefined
    return true
  }

  /** Returns the versions of all documents held, by name. */
  digest (): Digest {
    this.#digest ??= Object.fromEntries([...this.#held].map(([name, { document }]) => [name, document.version]))
    return this.#digest
  }

  /** Returns the documents of these names that fit into one message. */
  selectForMessage (names: readonly string[]): readonly StoredObject[] {
    const selected: StoredObject[] = []
    let length = 0
    for (const name of names) {
      const held = this.#held.get(name)
      if (held === undefined) continue
      const fits = selected.length === 0 || (selected.length < maxDocuments && length + held.jsonLength <= maxMessageBytes)
      if (!fits) continue
      selected.push(held.document)
      length += held.jsonLength
    }
    return selected
  }

  /** Answers a process whose digest is `callerDigest`: returns the documents that are newer here, and the digest of the remaining differences. */
  answer (callerDigest: ExchangeInput['digest']): ExchangeOutput {
    const newer = [...this.#held.keys()].filter(name => this.versionOf(name) > (callerDigest[name] ?? 0))
    const documents = this.selectForMessage(newer)
    const sent = new Set(documents.map(({ name }) => name))
    const omitted = newer.filter(name => !sent.has(name))
    const wanted = Object.keys(callerDigest).filter(name => this.versionOf(name) < (callerDigest[name] ?? 0) && this.#prefixes.some(prefix => name.startsWith(prefix)))
    return { documents, digest: Object.fromEntries([...omitted, ...wanted].map(name => [name, this.versionOf(name)])) }
  }

  /** Names of documents that the answering process lacks or holds in an older version, according to the digest of its answer. */
  namesNewerThan (answer: Digest): readonly string[] {
    return Object.keys(answer).filter(name => this.versionOf(name) > (answer[name] ?? 0))
  }

  /** Whether the answering process has newer documents that did not fit into its answer. */
  isBehind (answer: Digest): boolean {
    return Object.keys(answer).some(name => this.versionOf(name) < (answer[name] ?? 0))
  }
}
