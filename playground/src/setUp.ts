/** Sets up the example fleet: applies its fleet text and creates organisations through the administration API. */
import type { AdminClient } from '@buckthorndrift/admin'
import { readFile } from 'node:fs/promises'
import type { Result } from 'ts-results-es'
import { chat, send } from './callers.ts'
import { startFleet, type EndpointPlan, type Fleet, type RouterPlan, type Settings } from './fleet.ts'

/** Returns the value of an administration call. Throws when the call failed. */
export async function expectOk<Value> (call: Promise<Result<Value, unknown>>): Promise<Value> {
  const result = await call
  if (result.isErr()) throw new Error(`administration call failed: ${JSON.stringify(result.error)}`)
  return result.value
}

/** Applies a fleet text in place of the stored one, if any. Returns the new version. */
export async function applyFleetText (admin: AdminClient, text: string): Promise<number> {
  const stored = await admin.call('readFleet', {})
  const expectedVersion = stored.isOk() ? stored.value.version : 0
  const applied = await expectOk(admin.call('applyFleet', { text, expectedVersion }))
  return applied.version
}

/** Creates an organisation with one budget `main`. Returns an API key for it. */
export async function createOrganisation (admin: AdminClient, organisation: string, grantedTokens: number): Promise<string> {
  await expectOk(admin.call('createOrganisation', { name: organisation }))
  await expectOk(admin.call('createBudget', { organisation, name: 'main', grantedTokens, operationId: `grant-${organisation}` }))
  const { key } = await expectOk(admin.call('createKey', { organisation, budget: 'main' }))
  return key
}

const pollIntervalMs = 50

/** Repeats `check` until it returns a value. Rejects after `timeoutMs`; `condition` describes the wait in the error. */
export async function waitUntil<Value> (condition: string, timeoutMs: number, check: () => Promise<Value | undefined>): Promise<Value> {
  const endMs = performance.now() + timeoutMs
  while (performance.now() < endMs) {
    const value = await check()
    if (value !== undefined) return value
    await new Promise(resolve => { setTimeout(resolve, pollIntervalMs) })
  }
  throw new Error(`condition "${condition}" was not met within ${timeoutMs} ms`)
}

/** Reads the example fleet text of this package. */
export function readExampleFleetText (): Promise<string> {
  return readFile(new URL('../fleet.yaml', import.meta.url), 'utf8')
}

/** Processes that run the example fleet text. */
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

const readyTimeoutMs = 15_000

/** Waits until a router serves both services of the example. */
export async function waitUntilServing (callerUrl: string, key: string): Promise<void> {
  await waitUntil(`${callerUrl} serves both services`, readyTimeoutMs, async () => {
    const responses = [
      await chat(callerUrl, { key, model: 'carebot', prompt: 'ready?', maxTokens: 1 }),
      await send('GET', `${callerUrl}/services/boarding-desk/chambers/0`, undefined, { key })
    ]
    return responses.every(response => response.status === 200) ? true : undefined
  })
}

export interface ExampleFleet {
  readonly fleet: Fleet
  /** API key of the organisation `tortoise-house`, which has one budget. */
  readonly key: string
}

/** Starts the example fleet, applies the example fleet text, and waits until all routers serve both services. */
export async function startExampleFleet (grantedTokens: number, settings: { readonly routers?: Settings, readonly endpoints?: Settings } = {}): Promise<ExampleFleet> {
  const fleet = await startFleet(
    examplePlan.routers.map(plan => ({ ...plan, settings: settings.routers ?? {} })),
    examplePlan.endpoints.map(plan => ({ ...plan, settings: settings.endpoints ?? {} }))
  )
  try {
    const { admin } = fleet.routers[0]!
    await applyFleetText(admin, await readExampleFleetText())
    const key = await createOrganisation(admin, 'tortoise-house', grantedTokens)
    for (const router of fleet.routers) await waitUntilServing(router.callerUrl, key)
    return { fleet, key }
  } catch (error) {
    await fleet.stop()
    throw error
  }
}
