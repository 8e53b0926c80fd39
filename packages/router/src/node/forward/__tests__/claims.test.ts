import { afterEach, describe, expect, it } from 'vitest'
import type { ClaimInput, ClaimOutput } from '@buckthorndrift/protocol'
import { respond, FakeEndpoint, respondWithProblem } from '../../__tests__/fakeEndpoint.ts'
import { callerHeaders, claimLayout, startTestRouter, type TestRouter } from '../../__tests__/testRouter.ts'

describe('idempotency keys', () => {
  const opened: FakeEndpoint[] = []
  let rig: TestRouter
  let endpoint: FakeEndpoint

  async function start (endpoints: FakeEndpoint[]): Promise<void> {
    for (const other of endpoints) opened.push(await other.open())
    endpoint = endpoints[0] as FakeEndpoint
    rig = await startTestRouter({ endpoints, settings: { reattachTimeoutMs: 200, controlTimeoutMs: 500 } })
  }

  afterEach(async () => {
    await rig.stop()
    for (const other of opened.splice(0)) await other.kill()
  })

  function book (key: string, body = '{"room":1}'): Promise<Response> {
    return fetch(`${rig.url}/services/desk/bookings`, { method: 'POST', headers: callerHeaders({ 'idempotency-key': key }), body })
  }

  function keepAnswers (): void {
    const answers = new Map<string, string>()
    endpoint.script = ({ call, response }) => {
      const text = `booked ${answers.size}`
      answers.set(call.requestId, text)
      respond(response, call.requestId, text)
    }
    endpoint.attachScript = (requestId, _, response) => {
      const text = answers.get(requestId)
      if (text === undefined) respondWithProblem(response, 'endpointLost', 'notRun')
      else respond(response, requestId, text)
    }
  }

  it('gives a repeated key the first answer again, runs it once and bills it once', async () => {
    await start([new FakeEndpoint('e1')])
    keepAnswers()
    expect(await (await book('k1')).text()).toBe('booked 0')
    expect(await (await book('k1')).text()).toBe('booked 0')
    expect(endpoint.received).toHaveLength(1)
    expect(rig.bills).toHaveLength(1)
    expect(rig.settled.map(item => item.tokens)).toEqual([5, 0])
  })

  it('gives the first answer again although the budget is used up since', async () => {
    await start([new FakeEndpoint('e1')])
    keepAnswers()
    await (await book('k1')).text()
    rig.budgetFailure = { verdict: { kind: 'notRun' }, reason: 'budgetExhausted', detail: 'empty' }
    expect(await (await book('k1')).text()).toBe('booked 0')
    expect((await book('k2')).status).toBe(402)
  })

  it('claims a key anew that was claimed by a request which never ran', async () => {
    await start([new FakeEndpoint('e1')])
    keepAnswers()
    rig.budgetFailure = { verdict: { kind: 'notRun' }, reason: 'budgetExhausted', detail: 'empty' }
    expect((await book('k1')).status).toBe(402)
    rig.budgetFailure = undefined
    expect(await (await book('k1')).text()).toBe('booked 0')
  })

  it('refuses a key that comes back with another body', async () => {
    await start([new FakeEndpoint('e1')])
    keepAnswers()
    await (await book('k1')).text()
    const response = await book('k1', '{"room":2}')
    expect(response.status).toBe(422)
    expect(await response.json()).toMatchObject({ reason: 'keyReused', verdict: 'notRun' })
    expect(endpoint.received).toHaveLength(1)
  })

  it('answers mayHaveRun, and runs nothing, when the endpoint of an unrepeatable request is lost', async () => {
    const runner = new FakeEndpoint('e2')
    await start([new FakeEndpoint('e1', { service: 'other' }), runner])
    runner.script = async () => { await runner.kill() }
    expect((await book('k1')).headers.get('bd-verdict')).toBe('mayHaveRun')
    const again = await book('k1')
    expect(again.status).toBe(502)
    expect(again.headers.get('bd-verdict')).toBe('mayHaveRun')
  })

  describe('without the owner of the shard', () => {
    let outputs: ClaimOutput[]
    let takeOvers: number

    async function startWithWitness (isTakeOverPossible: boolean): Promise<void> {
      const owner = new FakeEndpoint('e1', { service: 'other' })
      const witness = new FakeEndpoint('e2')
      await start([owner, witness])
      const layout = (present: FakeEndpoint, epoch: number): void => {
        rig.objects.set('claims/desk', { name: 'claims/desk', version: epoch, value: claimLayout(present.member, witness.member, epoch) })
      }
      layout(owner, 1)
      takeOvers = 0
      const { claim } = witness.claims
      witness.claims = {
        ...witness.claims,
        claim: async (input: ClaimInput) => outputs.shift() ?? claim(input),
        takeOver: async () => {
          takeOvers += 1
          if (!isTakeOverPossible) throw new Error('the platform is down')
          layout(witness, 2)
        }
      }
      await owner.kill()
    }

    it('has the witness take over and goes on', async () => {
      outputs = []
      await startWithWitness(true)
      expect((await book('k1')).status).toBe(200)
      expect(takeOvers).toBe(1)
    })

    it('says "not run" only when the witness shows that the key was never claimed', async () => {
      outputs = Array.from({ length: 9 }, () => ({ kind: 'unavailable', isKnownUnclaimed: true }))
      await startWithWitness(false)
      expect((await book('k1')).headers.get('bd-verdict')).toBe('notRun')
      outputs = Array.from({ length: 9 }, () => ({ kind: 'unavailable', isKnownUnclaimed: false }))
      expect((await book('k2')).headers.get('bd-verdict')).toBe('mayHaveRun')
      outputs = Array.from({ length: 9 }, () => ({ kind: 'unknown' }))
      expect((await book('k3')).headers.get('bd-verdict')).toBe('mayHaveRun')
      expect(rig.settled.every(item => item.tokens === 0)).toBe(true)
    })
  })
})
