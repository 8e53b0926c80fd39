/** Applies a fleet text and creates organisations through the administration API. */
import type { AdminClient } from '@buckthorndrift/admin'
import type { Result } from 'ts-results-es'

/** Value of an administration call; throws its failure. */
export async function expectOk<Value> (call: Promise<Result<Value, unknown>>): Promise<Value> {
  const result = await call
  if (result.isErr()) throw new Error(`administration call failed: ${JSON.stringify(result.error)}`)
  return result.value
}

/** Applies a text over whatever is in force. Returns its version. */
export async function applyFleetText (admin: AdminClient, text: string): Promise<number> {
  const stored = await admin.call('readFleet', {})
  const expectedVersion = stored.isOk() ? stored.value.version : 0
  const applied = await expectOk(admin.call('applyFleet', { text, expectedVersion }))
  return applied.version
}

/** Creates an organisation with one budget, and returns an API key for it. */
export async function createOrganisation (admin: AdminClient, organisation: string, grantedTokens: number): Promise<string> {
  await expectOk(admin.call('createOrganisation', { name: organisation }))
  await expectOk(admin.call('createBudget', { organisation, name: 'main', grantedTokens, operationId: `grant-${organisation}` }))
  const { key } = await expectOk(admin.call('createKey', { organisation, budget: 'main' }))
  return key
}

const pollMs = 50

/** Repeats `check` until it returns a value. Rejects after `limitMs`. */
export async function until<Value> (what: string, limitMs: number, check: () => Promise<Value | undefined>): Promise<Value> {
  const endMs = performance.now() + limitMs
  while (performance.now() < endMs) {
    const value = await check()
    if (value !== undefined) return value
    await new Promise(resolve => { setTimeout(resolve, pollMs) })
  }
  throw new Error(`${what} did not happen within ${limitMs} ms`)
}
