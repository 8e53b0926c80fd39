/** Switches and counters of the stand-ins, over HTTP. */
import { request } from 'undici'

async function post (url: string, body: unknown): Promise<void> {
  const answer = await request(url, { method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) })
  await answer.body.dump()
  if (answer.statusCode >= 400) throw new Error(`${url} answered ${answer.statusCode}`)
}

/** Sets faults of a stand-in; those not named stay as they are. */
export function setFaults (url: string, faults: Readonly<Record<string, unknown>>): Promise<void> {
  return post(`${url}/faults`, faults)
}

/** How often each request ran, by id of the back end. */
export async function runsOf (url: string, kind: 'model' | 'plain'): Promise<Readonly<Record<string, number>>> {
  const answer = await request(`${url}${kind === 'model' ? '/executions' : '/runs'}`)
  return await answer.body.json() as Readonly<Record<string, number>>
}

/** Requests that a plain service holds now. */
export async function requestsHeld (url: string): Promise<number> {
  const answer = await request(`${url}/load`)
  return (await answer.body.json() as { inFlight: number }).inFlight
}

/** Ids of the given routers that hold slices of budgets, as the platform has them. */
export async function sliceHolders (platformUrl: string, routerIds: readonly string[]): Promise<readonly string[]> {
  const listed = await request(`${platformUrl}/objects?prefix=${encodeURIComponent('budgets/')}`)
  const { objects } = await listed.body.json() as { readonly objects: ReadonlyArray<{ readonly name: string }> }
  const texts = await Promise.all(objects.map(async ({ name }) => {
    const answer = await request(`${platformUrl}/objects/${encodeURIComponent(name)}`)
    return await answer.body.text()
  }))
  return routerIds.filter(id => texts.some(text => text.includes(`"${id}.`)))
}
