import { describe, expect, it } from 'vitest'
import { resolveRouterSettings, tlsFilesOf } from '../../index.ts'

const hash = 'b'.repeat(64)
const required = { id: 'r1', vm: 'vm1', failureDomain: 'north', region: 'munster', platformUrl: 'http://127.0.0.1:9000', fleetSecret: 's', adminKeyHashes: `anna=${hash}` }

describe('router settings', () => {
  const resolve = (flags: Readonly<Record<string, string>>) => resolveRouterSettings({ flags: { ...required, ...flags }, environment: {} })

  it('resolves to plain HTTP by default, and to TLS if both files are set', () => {
    const plain = resolve({}).unwrap()
    expect(plain.adminKeys).toEqual([{ name: 'anna', hash }])
    expect(tlsFilesOf(plain.settings, 'caller')).toBeUndefined()
    const secure = resolve({ callerCertificatePath: 'c.pem', callerKeyPath: 'k.pem' }).unwrap()
    expect(tlsFilesOf(secure.settings, 'caller')).toEqual({ certificatePath: 'c.pem', keyPath: 'k.pem' })
  })

  it('reports all problems at once and includes no secret in them', () => {
    const problems = resolve({ platformUrl: 'auto', controlUrl: 'here', controlKeyPath: 'k.pem', adminKeyHashes: 'secret-in-plain-text' }).unwrapErr()
    expect(problems.map(problem => problem.split(' ')[0])).toEqual(['--platform-url', '--control-url', '--control-certificate-path', '--admin-key-hashes'])
    expect(problems.join()).not.toContain('secret-in-plain-text')
  })
})
