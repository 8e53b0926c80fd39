/** Administration keys in the settings of a router: names with SHA-256 hashes. */
import { Err, Ok, type Result } from 'ts-results-es'

export interface AdminKey {
  /** Holder of the key, recorded with each change. */
  readonly name: string
  /** SHA-256 of the key in hex. */
  readonly hash: string
}

const entryPattern = /^([A-Za-z0-9._-]{1,60})=([0-9a-f]{64})$/

/** Parses comma-separated entries `<name>=<SHA-256 in hex>`. The error gives the position or name of the invalid entry and never its text, which may be a key by mistake. */
export function parseAdminKeys (text: string): Result<readonly AdminKey[], string> {
  const keys: AdminKey[] = []
  for (const [index, entry] of text.split(',').entries()) {
    const [, name, hash] = entryPattern.exec(entry.trim()) ?? []
    if (name === undefined || hash === undefined) return Err(`administration key ${index + 1} must have the form <name>=<SHA-256 of the key in hex>`)
    if (keys.some(key => key.name === name)) return Err(`administration key ${name} is listed twice`)
    keys.push({ name, hash })
  }
  return Ok(keys)
}
