import { afterEach, describe, expect, it } from 'vitest'
import type { ClaimInput, ClaimOutput } from '@buckthorndrift/protocol'
import { respond, FakeEndpoint, respondWithProblem } from '../../__tests__/fakeEndpoint.ts'
import { callerHeaders, claimLayout, startTestRouter, type TestRouter } from '../../__tests__/testRouter.ts'

describe('idempotency keys', () => {
  const opened: FakeEndpoint[] = []
  let router: TestRouter
  let endpoint: FakeEndpoint

  async function start (endpoints: FakeEndpoint[]): Promise<void> {
    for (const other of endpoints) opened.push(await other.open())
    endpoint = endpoints[0] as FakeEndpoint
    router = await startTestRouter({ endpoints, settings: { reattachTimeoutMs: 200, controlTimeoutMs: 500 } })
  }

  afterEach(async () => {
    await router.stop()
    for (const other of opened.splice(0)) await other.kill()
  })

  function postBooking (key: string, body = '{"room":1}'): Promise<Response> {
    return fetch(`${router.url}/services/desk/bookings`, { method: 'POST', headers: callerHeaders({ 'idempotency-key': key }), body })
  }

  /** Makes the endpoint keep its responses and return them to routers that attach to a request. */
  function keepResponses (): void {
    const responses = new Map<string, string>()
    endpoint.script = ({ call, response }) => {
      const text = `booked ${responses.size}`
      responses.set(call.requestId, text)
      respond(response, call.requestId, text)
    }
    endpoint.attachScript = (requestId, _, response) => {
      const text = responses.get(requestId)
      if (text === undefined) respondWithProblem(response, 'endpointLost', 'notRun')
      else respond(response, requestId, text)
    }
  }

  it('returns the first response for a repeated key, and runs and bills the request once', async () => {
    await start([new FakeEndpoint('e1')])
    keepResponses()
    expect(await (await postBooking('k1')).text()).toBe('booked 0')
    expect(await (await postBooking('k1')).text()).toBe('booked 0')
    expect(endpoint.received).toHaveLength(1)
    expect(router.bills).toHaveLength(1)
    expect(router.settled.map(item => item.tokens)).toEqual([5, 0])
  })

  it('returns the first response for a repeated key although the budget is exhausted by then', async () => {
    await start([new FakeEndpoint('e1')])
    keepResponses()
    await (await postBooking('k1')).text()
    router.budgetFailure = { verdict: { kind: 'notRun' }, reason: 'budgetExhausted', detail: 'empty' }
    expect(await (await postBooking('k1')).text()).toBe('booked 0')
    expect((await postBooking('k2')).status).toBe(402)
  })

  it('grants a key to a new request when the request that claimed it never ran', async () => {
    await start([new FakeEndpoint('e1')])
    keepResponses()
    router.budgetFailure = { verdict: { kind: 'notRun' }, reason: 'budgetExhausted', detail: 'empty' }
    expect((await postBooking('k1')).status).toBe(402)
    router.budgetFailure = undefined
    expect(await (await postBooking('k1')).text()).toBe('booked 0')
  })

  it('refuses a repeated key with a different request body', async () => {
    await start([new FakeEndpoint('e1')])
    keepResponses()
    await (await postBooking('k1')).text()
    const response = await postBooking('k1', '{"room":2}')
    expect(response.status).toBe(422)
    expect(await response.json()).toMatchObject({ reason: 'keyReused', verdict: 'notRun' })
    expect(endpoint.received).toHaveLength(1)
  })

  it('responds mayHaveRun to a repeated key, and runs nothing, after the endpoint died during a non-idempotent request', async () => {
    const runner = new FakeEndpoint('e2')
    await start([new FakeEndpoint('e1', { service: 'other' }), runner])
    runner.script = async () => { await runner.kill() }
    expect((await postBooking('k1')).headers.get('bd-verdict')).toBe('mayHaveRun')
    const again = await postBooking('k1')
    expect(again.status).toBe(502)
    expect(again.headers.get('bd-verdict')).toBe('mayHaveRun')
  })

  describe('when the owner of the claim shard is unreachable', () => {
    let outputs: ClaimOutput[]
    let takeOvers: number

    async function startWithWitness (isTakeOverPossible: boolean): Promise<void> {
      const owner = new FakeEndpoint('e1', { service: 'other' })
      const witness = new FakeEndpoint('e2')
      await start([owner, witness])
      const storeLayout = (shardOwner: FakeEndpoint, epoch: number): void => {
        router.objects.set('claims/desk', { name: 'claims/desk', version: epoch, value: claimLayout(shardOwner.member, witness.member, epoch) })
      }
      storeLayout(owner, 1)
      takeOvers = 0
      const { claim } = witness.claims
      witness.claims = {
        ...witness.claims,
        claim: async (input: ClaimInput) => outputs.shift() ?? claim(input),
        takeOver: async () => {
          takeOvers += 1
          if (!isTakeOverPossible) throw new Error('the platform is down')
          storeLayout(witness, 2)
        }
      }
      await owner.kill()
    }

    it('has the witness take over the shard and then claims the key', async () => {
      outputs = []
      await startWithWitness(true)
      expect((await postBooking('k1')).status).toBe(200)
      expect(takeOvers).toBe(1)
    })

    it('responds notRun only when the witness shows that the key was never claimed', async () => {
      outputs = Array.from({ length: 9 }, () => ({ kind: 'unavailable', isKnownUnclaimed: true }))
      await startWithWitness(false)
      expect((await postBooking('k1')).headers.get('bd-verdict')).toBe('notRun')
      outputs = Array.from({ length: 9 }, () => ({ kind: 'unavailable', isKnownUnclaimed: false }))
      expect((await postBooking('k2')).headers.get('bd-verdict')).toBe('mayHaveRun')
      outputs = Array.from({ length: 9 }, () => ({ kind: 'unknown' }))
      expect((await postBooking('k3')).headers.get('bd-verdict')).toBe('mayHaveRun')
      expect(router.settled.every(item => item.tokens === 0)).toBe(true)
    })
  })
})
