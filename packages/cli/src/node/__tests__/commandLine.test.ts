import { spawn } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { afterAll, beforeAll, beforeEach, describe, expect, it } from 'vitest'
import { recordObjectName } from '@buckthorndrift/coordination'
import { adminKey, startAdmin, type AdminFixture } from '../../../../admin/src/node/__tests__/fixture.ts'

const bin = fileURLToPath(new URL('../../../dist/bundle/bin.mjs', import.meta.url))
const directory = mkdtempSync(join(tmpdir(), 'buckthorndrift-'))
const fleetText = (limit: number): string => `services:\n  desk:\n    kind: plain\n    versions: [{ name: v1 }]\n    endpointLimit: ${limit}\n    calls: [{ route: GET /, idempotent: true, priceTokens: 1 }]\n`

interface ProcessResult {
  readonly code: number | null
  readonly out: string
  readonly err: string
}

/** Runs the binary, as the global set-up of the tests bundled it, in a child process with empty standard input. */
function run (args: readonly string[], environment: Readonly<Record<string, string>>): Promise<ProcessResult> {
  return new Promise((resolve, reject) => {
    const child = spawn(process.execPath, [bin, ...args], {
      env: { PATH: process.env['PATH'] ?? '', NO_COLOR: '1', ...environment }, stdio: ['ignore', 'pipe', 'pipe']
    })
    let out = ''
    let err = ''
    child.stdout.on('data', data => { out += String(data) })
    child.stderr.on('data', data => { err += String(data) })
    child.on('error', reject).on('close', code => { resolve({ code, out, err }) })
  })
}

function writeTempFile (name: string, content: string): string {
  const path = join(directory, name)
  writeFileSync(path, content)
  return path
}

describe('buckthorndrift', () => {
  let admin: AdminFixture
  const cli = (...args: readonly string[]): Promise<ProcessResult> =>
    run(args, { BUCKTHORNDRIFT_ADMIN_URL: admin.url, BUCKTHORNDRIFT_ADMIN_KEY: adminKey })

  beforeAll(async () => { admin = await startAdmin() })
  beforeEach(() => { admin.store.clear() })
  afterAll(async () => {
    await admin.kernel.stop()
    rmSync(directory, { recursive: true })
  })

  describe('usage', () => {
    it('lists all commands and exit codes in its help', async () => {
      const { code, out } = await cli('--help')
      expect(code).toBe(0)
      for (const name of ['router', 'check', 'apply', 'status', 'organisations', 'keys', 'budgets', 'top-up', 'services', 'rollouts', 'refusals', 'billing', 'drain', '3 conflict']) expect(out).toContain(name)
    })

    it('never prints the administration key, not even in help texts, because output may be logged', async () => {
      const outputs = await Promise.all([cli('apply', '--help'), cli('status', '--json')])
      for (const { out, err } of outputs) expect(out + err).not.toContain(adminKey)
    })

    it('exits with 2 for an invalid command line and prints only to standard error', async () => {
      const wrong = [
        ['aply'], ['apply'], ['billing', 'acme', '--from', 'yesterday'], ['top-up', 'acme', 'main', '--tokens', 'many'],
        ['status', '--url', 'localhost'], ['apply', '/does/not/exist'], ['organisations', 'create', 'Not A Name']
      ]
      const ended = await Promise.all(wrong.map(args => cli(...args)))
      expect(ended.map(({ code, out }) => [code, out])).toEqual(wrong.map(() => [2, '']))
      expect(ended.every(({ err }) => err !== '')).toBe(true)
    })

    it('exits with 2 without a key, with 1 for an unknown key and with 4 for an unreachable router', async () => {
      const base = { BUCKTHORNDRIFT_ADMIN_URL: admin.url }
      const [missing, wrong, absent] = await Promise.all([
        run(['status'], base),
        run(['status'], { ...base, BUCKTHORNDRIFT_ADMIN_KEY: 'wrong' }),
        run(['status', '--url', 'http://127.0.0.1:1'], { BUCKTHORNDRIFT_ADMIN_KEY: adminKey })
      ])
      expect([missing.code, wrong.code, absent.code]).toEqual([2, 1, 4])
      expect(missing.err).toContain('BUCKTHORNDRIFT_ADMIN_KEY')
      expect(wrong.err).toContain('--admin-key-hashes')
      expect(absent.err).toContain('--url')
    })

    it('lists every invalid setting of a router, logs an event and exits with 2', async () => {
      const { code, out, err } = await cli('router', '--platform-url', 'nowhere')
      expect(code).toBe(2)
      expect(JSON.parse(out)).toMatchObject({ context: { event: 1005 }, message: 'settings are invalid' })
      for (const name of ['--id', '--vm', '--fleet-secret', '--admin-key-hashes']) expect(err).toContain(name)
    })
  })

  describe('fleet text', () => {
    it('prints file, line and column of each problem and exits with 1', async () => {
      const file = writeTempFile('bad.yaml', fleetText(0))
      const ended = await Promise.all([cli('check', file), cli('check', file, '--local', '--url', 'http://127.0.0.1:1'), cli('apply', file, '--yes')])
      for (const { code, err } of ended) {
        expect(code).toBe(1)
        expect(err).toContain(`${file}:5:5: services.desk.endpointLimit`)
      }
      expect(admin.store.objects.entries.size).toBe(0)
    })

    it('prints the changes before it applies them, and applies nothing without confirmation or --yes', async () => {
      const file = writeTempFile('one.yaml', fleetText(1))
      const unasked = await cli('apply', file)
      expect(unasked.code).toBe(2)
      expect(unasked.err).toContain('--yes')
      expect(admin.store.objects.entries.size).toBe(0)
      const applied = await cli('apply', file, '--yes')
      expect(applied.code).toBe(0)
      expect(applied.out).toMatch(/\+ desk endpointLimit: 1[\s\S]*Applied as version 1/)
      expect((await cli('check', writeTempFile('two.yaml', fleetText(2)))).out).toContain('~ desk endpointLimit: 1 -> 2')
    })

    it('exits with 3 when another operator applied a text first, and prints the present version', async () => {
      await cli('apply', writeTempFile('one.yaml', fleetText(1)), '--yes')
      const { code, err } = await cli('apply', writeTempFile('two.yaml', fleetText(2)), '--yes', '--expected-version', '0')
      expect(code).toBe(3)
      expect(err).toContain('version 1, not 0')
    })

    it('lists the processes that do not hold the applied version when --wait times out', async () => {
      const { code, out, err } = await cli('apply', writeTempFile('one.yaml', fleetText(1)), '--yes', '--json', '--wait', '--wait-limit', '0')
      expect(code).toBe(1)
      expect(JSON.parse(out)).toMatchObject({ version: 1 })
      expect(err).toContain('1 of 2 processes follow version 1; 1 endpoint process does not report a version')
      expect(err).toContain('r2 (unreachable)')
    })
  })

  describe('organisations, keys and budgets', () => {
    it('goes from an organisation to a topped-up budget and a key', async () => {
      expect((await cli('organisations', 'create', 'acme')).code).toBe(0)
      expect((await cli('organisations', 'create', 'acme')).code).toBe(3)
      expect((await cli('budgets', 'create', 'acme', 'main', '--tokens', '1000', '--operation-id', 'first')).code).toBe(0)
      for (let repeat = 0; repeat < 2; repeat++) {
        const { out } = await cli('top-up', 'acme', 'main', '--tokens', '500', '--operation-id', 'second', '--json')
        expect(JSON.parse(out)).toMatchObject({ grantedTokens: 1500, freeTokens: 1500, operationId: 'second' })
      }
      const key = await cli('keys', 'create', 'acme', 'main')
      expect(key.out).toMatch(/^bd_[\w-]{43}\n$/)
      const [listed] = JSON.parse((await cli('keys', 'list', 'acme', '--json')).out) as [{ keyId: string }]
      expect((await cli('keys', 'revoke', 'acme', listed.keyId)).code).toBe(0)
      expect((await cli('budgets', 'list', 'acme')).out).toMatch(/BUDGET +GRANTED +SPENT +HELD +FREE\nmain +1,500 +0 +0 +1,500\n/)
      expect((await cli('organisations', 'list')).out).toMatch(/acme +1 +0 /)
    })

    it('prints how to retry a top-up with the same operation id when the platform is unavailable', async () => {
      admin.store.isCutOff = true
      const { code, err } = await cli('top-up', 'acme', 'main', '--tokens', '5')
      admin.store.isCutOff = false
      expect(code).toBe(4)
      expect(err).toMatch(/--operation-id [0-9a-f-]{36}/)
    })
  })

  describe('reports', () => {
    it('prints refusals as a table with ids, and as one JSON object per line', async () => {
      const secondMs = Date.UTC(2026, 10, 3, 9)
      const account = { accountId: 'r1.1.7', number: 7, organisation: 'acme', budget: 'acme/main', service: 'desk', reason: 'budgetExhausted', verdict: 'notRun', routerId: 'r1', secondMs, count: 12 }
      admin.store.put(recordObjectName('refusals', secondMs, 'r1.1', 0), { accounts: [account] })
      const args = ['refusals', '--organisation', 'acme', '--from', '2026-11-03T09:00:00Z', '--to', '2026-11-03T10:00:00Z']
      const [table, lines] = await Promise.all([cli(...args), cli(...args, '--json')])
      expect(table.out).toMatch(/2026-11-03 09:00:00Z +acme +acme\/main +desk +budgetExhausted +notRun +12 +r1\.1\.7\.1-12/)
      expect(table.err).toContain('12 refused requests')
      expect(lines.out).toBe(`${JSON.stringify(account)}\n`)
    })

    it('prints processes, services, rollouts and an empty billing report', async () => {
      await cli('apply', writeTempFile('one.yaml', fleetText(1)), '--yes')
      const [status, services, rollouts, billing] = await Promise.all([cli('status'), cli('services'), cli('rollouts'), cli('billing', 'acme')])
      expect(status.out).toMatch(/version 1, applied by anna[\s\S]*r1 +router +north +vm1 +live +following 1/)
      expect(services.out).toMatch(/desk +plain +v1 +1 +0/)
      expect([rollouts.code, rollouts.err]).toEqual([0, 'There are no rollouts.\n'])
      expect(billing.err).toContain('0 requests, 0 tokens')
    })

    it('drains the router that it calls, and fails for an unknown process', async () => {
      expect((await cli('drain', 'r1')).code).toBe(0)
      expect(admin.drains).toBe(1)
      expect((await cli('drain', 'e9')).code).toBe(1)
    })
  })
})
