/** Fleet configuration, resolved from the fleet text: the YAML document in which operators list services, versions, limits and calls. */

export interface VersionConfig {
  readonly name: string
  /** Wall-clock time by which all traffic has moved to this version, in ms since the Unix epoch. */
  readonly moveByMs?: number
}

/** A call of a plain service, such as `POST /bookings` or `GET /chambers/*`. */
export interface CallConfig {
  readonly route: string
  readonly method: string
  /** Path pattern; `*` stands for one segment. */
  readonly path: string
  readonly idempotent: boolean
  readonly priceTokens: number
}

interface ServiceBase {
  readonly name: string
  readonly dependsOn: readonly string[]
  /** Oldest first; the last one is the target of a rollout. */
  readonly versions: readonly VersionConfig[]
  /** Maximum number of requests in flight at the back end of one endpoint. */
  readonly endpointLimit: number
}

export type ServiceConfig =
  | ServiceBase & { readonly kind: 'model', readonly maxOutputTokens: number }
  | ServiceBase & { readonly kind: 'plain', readonly calls: readonly CallConfig[] }

export interface FleetConfig {
  readonly services: Readonly<Record<string, ServiceConfig>>
}

/** Value of the document `config/fleet`. The version of the document orders configurations. */
export interface StoredFleetText {
  readonly text: string
  /** Name of the operator who applied the text, for the audit trail. */
  readonly appliedBy: string
  readonly appliedAtMs: number
}

/** Value of a document `directory/<shard>`; the shard of a key is its first hash byte modulo the shard count. */
export interface DirectoryShard {
  /** Entries by SHA-256 of the API key, in hex. */
  readonly keys: Readonly<Record<string, DirectoryKey>>
}

/** Organisation and budget to which requests with an API key are charged. */
export interface DirectoryKey {
  readonly organisation: string
  readonly budget: string
}
