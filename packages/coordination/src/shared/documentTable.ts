/**
 * Documents held by one process and the comparison with another. A version
 * replaces only lower ones, whatever order they arrive in.
 *
 * The digest in an answer lists only the names on which both sides still
 * differ after the answer's documents: a lower version than the caller's asks
 * for the document, a higher one says that it did not fit into the answer.
 */
import type { Digest, ExchangeInput, ExchangeOutput } from '@buckthorndrift/protocol'
import type { StoredObject } from './objectStore.ts'

/** Most documents in one message, as the protocol allows. */
const maxDocuments = 200
/** Most bytes of documents in one message, so that one fits into its time limit on a slow link; a single larger document is sent alone. */
const maxMessageBytes = 500_000

interface Held {
  readonly document: StoredObject
  /** Length of the document as JSON, measured once. */
  readonly length: number
}

export class DocumentTable {
  readonly #held = new Map<string, Held>()
  readonly #prefixes: readonly string[]
  #digest: Digest | undefined

  /** Documents whose name begins with none of `prefixes` are not taken. */
  constructor (prefixes: readonly string[]) {
    this.#prefixes = prefixes
  }

  get (name: string): StoredObject | undefined {
    return this.#held.get(name)?.document
  }

  names (prefix: string): readonly string[] {
    return [...this.#held.keys()].filter(name => name.startsWith(prefix))
  }

  versionOf (name: string): number {
    return this.#held.get(name)?.document.version ?? 0
  }

  /** Takes a document; false when it is not newer or not one that is held here. */
  putIfNewer (document: StoredObject): boolean {
    const isTaken = document.version > this.versionOf(document.name) && this.#prefixes.some(prefix => document.name.startsWith(prefix))
    if (!isTaken) return false
    this.#held.set(document.name, { document, length: JSON.stringify(document.value).length })
    this.#digest = undefined
    return true
  }

  /** Versions of all documents held. */
  digest (): Digest {
    this.#digest ??= Object.fromEntries([...this.#held].map(([name, { document }]) => [name, document.version]))
    return this.#digest
  }

  /** Documents of these names, as many as fit into one message. */
  pack (names: readonly string[]): readonly StoredObject[] {
    const packed: StoredObject[] = []
    let length = 0
    for (const name of names) {
      const held = this.#held.get(name)
      if (held === undefined) continue
      const fits = packed.length === 0 || (packed.length < maxDocuments && length + held.length <= maxMessageBytes)
      if (!fits) continue
      packed.push(held.document)
      length += held.length
    }
    return packed
  }

  /** Answers a caller with these versions. */
  answer (theirs: ExchangeInput['digest']): ExchangeOutput {
    const newer = [...this.#held.keys()].filter(name => this.versionOf(name) > (theirs[name] ?? 0))
    const documents = this.pack(newer)
    const sent = new Set(documents.map(({ name }) => name))
    const tooMany = newer.filter(name => !sent.has(name))
    const wanted = Object.keys(theirs).filter(name => this.versionOf(name) < (theirs[name] ?? 0) && this.#prefixes.some(prefix => name.startsWith(prefix)))
    return { documents, digest: Object.fromEntries([...tooMany, ...wanted].map(name => [name, this.versionOf(name)])) }
  }

  /** Names that the process which gave this answer lacks or has in an older version. */
  wantedBy (answer: Digest): readonly string[] {
    return Object.keys(answer).filter(name => this.versionOf(name) > (answer[name] ?? 0))
  }

  /** Whether that process still has newer documents, which did not fit into its answer. */
  isBehind (answer: Digest): boolean {
    return Object.keys(answer).some(name => this.versionOf(name) < (answer[name] ?? 0))
  }
}
