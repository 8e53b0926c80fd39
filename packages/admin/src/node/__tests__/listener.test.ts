import { readFileSync } from 'node:fs'
import { request } from 'node:https'
import { connect } from 'node:net'
import { fileURLToPath } from 'node:url'
import { describe, expect, it } from 'vitest'
import { openListener } from '../../index.ts'

const limits = { host: '127.0.0.1', port: 0, headersTimeoutMs: 100, requestTimeoutMs: 200, maxHeaderBytes: 8192, maxConnections: 10 }
// Self-signed certificate, used only in this test.
const tlsFile = (name: string): string => fileURLToPath(new URL(`tls/${name}`, import.meta.url))
const tls = { certificatePath: tlsFile('certificate.pem'), keyPath: tlsFile('key.pem') }

function get (port: number, ca: Buffer): Promise<string> {
  return new Promise((resolve, reject) => {
    request({ host: '127.0.0.1', port, ca, agent: false }, response => {
      let body = ''
      response.on('data', data => { body += String(data) }).on('end', () => { resolve(body) })
    }).on('error', reject).end()
  })
}

describe('listener', () => {
  it('answers 408 and closes connections whose headers or body never arrive completely', async () => {
    const listener = await openListener(limits, (incoming, outgoing) => { incoming.resume().on('end', () => outgoing.end()) })
    const answers = ['GET / HTTP/1.1\r\n', 'PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc'].map(start => new Promise<string>(resolve => {
      let received = ''
      const socket = connect(listener.port, '127.0.0.1', () => { socket.write(start) })
      socket.on('data', data => { received += String(data) }).on('error', () => {}).on('close', () => { resolve(received) })
    }))
    for (const answer of await Promise.all(answers)) expect(answer).toContain('408')
    await listener.close()
  })

  it('serves TLS with the configured certificate and no plain HTTP', async () => {
    const listener = await openListener({ ...limits, tls }, (_, outgoing) => { outgoing.end('secure') })
    expect(await get(listener.port, readFileSync(tls.certificatePath))).toBe('secure')
    await expect(fetch(`http://127.0.0.1:${listener.port}`)).rejects.toThrow()
    await listener.close()
  })

  it('fails instead of serving plain HTTP when a TLS file is missing', async () => {
    await expect(openListener({ ...limits, tls: { ...tls, keyPath: tlsFile('absent.pem') } }, () => {})).rejects.toThrow('absent.pem')
  })
})
