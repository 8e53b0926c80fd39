import { describe, expect, it } from 'vitest'
import { parseAdminKeys } from '../../index.ts'

const hash = 'a'.repeat(64)

describe('administration keys', () => {
  it('parses names and hashes', () => {
    expect(parseAdminKeys(`anna=${hash}, bert=${hash}`).unwrap()).toEqual([{ name: 'anna', hash }, { name: 'bert', hash }])
  })

  it.each(['', hash, 'anna=plain-key', `anna=${hash},`, `anna=${hash},anna=${hash}`])('rejects %j without repeating it in the error, because it may be a key in plain text', text => {
    const error = parseAdminKeys(text).unwrapErr()
    expect(error).not.toContain('plain-key')
    expect(error).toMatch(/administration key/)
  })
})
