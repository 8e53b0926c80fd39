/** Applies a fleet text and creates organisations through the administration API. */
import type { AdminClient } from '@buckthorndrift/admin'
import { readFile } from 'node:fs/promises'
import type { Result } from 'ts-results-es'
import { chat, send } from './callers.ts'
import { startFleet, type EndpointPlan, type Fleet, type RouterPlan, type Settings } from './fleet.ts'

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

/** The example text of this package. */
export function exampleText (): Promise<string> {
  return readFile(new URL('../fleet.yaml', import.meta.url), 'utf8')
}

export const examplePlan = {
  routers: [
    { id: 'router-a', failureDomain: 'a' },
    { id: 'router-b', failureDomain: 'b' }
  ] satisfies readonly RouterPlan[],
  endpoints: [
    { id: 'carebot-a', service: 'carebot', version: 'v1', kind: 'model', failureDomain: 'a' },
    { id: 'carebot-b', service: 'carebot', version: 'v1', kind: 'model', failureDomain: 'b' },
    { id: 'desk-a', service: 'boarding-desk', version: 'v1', kind: 'plain', failureDomain: 'a' },
    { id: 'desk-b', service: 'boarding-desk', version: 'v1', kind: 'plain', failureDomain: 'b' }
  ] satisfies readonly EndpointPlan[]
}

const readyLimitMs = 15_000

/** Waits until a router serves both services of the example. */
export async function untilServing (callerUrl: string, key: string): Promise<void> {
  await until(`${callerUrl} serves`, readyLimitMs, async () => {
    const answers = [
      await chat(callerUrl, { key, model: 'carebot', prompt: 'ready?', maxTokens: 1 }),
      await send('GET', `${callerUrl}/services/boarding-desk/chambers/0`, undefined, { key })
    ]
    return answers.every(answer => answer.status === 200) ? true : undefined
  })
}

export interface ExampleFleet {
  readonly fleet: Fleet
  /** API key of an organisation `tortoise-house` with one budget. */
  readonly key: string
}

/** Starts the example fleet, applies its text, and waits until all routers serve. */
export async function startExampleFleet (grantedTokens: number, settings: { readonly routers?: Settings, readonly endpoints?: Settings } = {}): Promise<ExampleFleet> {
  const fleet = await startFleet(
    examplePlan.routers.map(plan => ({ ...plan, settings: settings.routers ?? {} })),
    examplePlan.endpoints.map(plan => ({ ...plan, settings: settings.endpoints ?? {} }))
  )
  try {
    const { admin } = fleet.routers[0]!
    await applyFleetText(admin, await exampleText())
    const key = await createOrganisation(admin, 'tortoise-house', grantedTokens)
    for (const router of fleet.routers) await untilServing(router.callerUrl, key)
    return { fleet, key }
  } catch (error) {
    await fleet.stop()
    throw error
  }
}
