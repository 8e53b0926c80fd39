/** HTTP client for the faults and counters of the stand-ins. */
import { request } from 'undici'

async function post (url: string, body: unknown): Promise<void> {
  const response = await request(url, { method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) })
  await response.body.dump()
  if (response.statusCode >= 400) throw new Error(`${url} returned status ${response.statusCode}`)
}

/** Sets faults of a stand-in. Faults that are not named stay unchanged. */
export function setFaults (url: string, faults: Readonly<Record<string, unknown>>): Promise<void> {
  return post(`${url}/faults`, faults)
}

/** Number of executions by request id (model engine) or booking id (plain service). */
export async function readRunCounts (url: string, kind: 'model' | 'plain'): Promise<Readonly<Record<string, number>>> {
  const response = await request(`${url}${kind === 'model' ? '/executions' : '/runs'}`)
  return await response.body.json() as Readonly<Record<string, number>>
}

/** Number of requests in progress at a plain service. */
export async function readInFlight (url: string): Promise<number> {
  const response = await request(`${url}/load`)
  return (await response.body.json() as { inFlight: number }).inFlight
}

/** Ids of those given routers that hold budget slices according to the objects stored at the platform. */
export async function readSliceHolders (platformUrl: string, routerIds: readonly string[]): Promise<readonly string[]> {
  const listed = await request(`${platformUrl}/objects?prefix=${encodeURIComponent('budgets/')}`)
  const { objects } = await listed.body.json() as { readonly objects: ReadonlyArray<{ readonly name: string }> }
  const texts = await Promise.all(objects.map(async ({ name }) => {
    const response = await request(`${platformUrl}/objects/${encodeURIComponent(name)}`)
    return await response.body.text()
  }))
  return routerIds.filter(id => texts.some(text => text.includes(`"${id}.`)))
}
