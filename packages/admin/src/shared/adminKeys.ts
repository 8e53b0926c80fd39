/** Administration keys as settings give them: names with SHA-256 hashes. */
import { Err, Ok, type Result } from 'ts-results-es'

export interface AdminKey {
  /** Who holds the key; recorded with each change. */
  readonly name: string
  /** SHA-256 in hex. */
  readonly hash: string
}

const entryPattern = /^([A-Za-z0-9._-]{1,60})=([0-9a-f]{64})$/

/** Reads `<name>=<SHA-256 in hex>`, separated by commas. The error names the wrong entry, but never its hash. */
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
