/** Stored evidence of requests that crash endpoints. Routers create these objects and never change them. */

/** The requests that were running when an endpoint crashed. */
export interface StoredCrash {
  readonly kind: 'crash'
  readonly crashId: string
  /** Hashes of the whole requests. */
  readonly contents: readonly string[]
  /** Ids of the shared parts of the prompts, by request. */
  readonly prompts: ReadonlyArray<readonly string[]>
}

/** Endpoints ran requests with these contents and parts of prompts and did not crash. */
export interface StoredClearance {
  readonly kind: 'clearance'
  readonly contents: readonly string[]
  readonly promptParts: readonly string[]
}

export type StoredCrashEvidence = StoredCrash | StoredClearance

function toStrings (value: unknown): readonly string[] {
  return Array.isArray(value) ? value.filter(entry => typeof entry === 'string') : []
}

/** Decodes a stored object; `undefined` if it is malformed. */
export function decodeCrashEvidence (value: unknown): StoredCrashEvidence | undefined {
  const { kind, crashId, contents, prompts, promptParts } = (value ?? {}) as Readonly<Record<string, unknown>>
  if (kind === 'clearance') return { kind, contents: toStrings(contents), promptParts: toStrings(promptParts) }
  if (kind === 'crash' && typeof crashId === 'string') return { kind, crashId, contents: toStrings(contents), prompts: Array.isArray(prompts) ? prompts.map(toStrings) : [] }
  return undefined
}
