/** Demo: a small fleet, real requests, and the accounts afterwards. */
import { readFile } from 'node:fs/promises'
import { chat, send, streamedText, type Answer } from './callers.ts'
import { startFleet, type Fleet } from './fleet.ts'
import { applyFleetText, createOrganisation, expectOk, until } from './setUp.ts'

const readyLimitMs = 15_000
const recordsLimitMs = 15_000
const hourMs = 3_600_000

function print (line: string): void {
  process.stdout.write(`${line}\n`)
}

function report (title: string, answer: Answer, text = answer.text): void {
  const verdict = answer.headers['bd-verdict']
  const refusal = verdict === undefined ? '' : ` verdict=${String(verdict)}`
  print(`\n${title}\n  status=${answer.status}${refusal}\n  ${text.trim().slice(0, 300)}`)
}

function startDemoFleet (): Promise<Fleet> {
  return startFleet([
    { id: 'router-a', failureDomain: 'a' },
    { id: 'router-b', failureDomain: 'b' }
  ], [
    { id: 'carebot-a', service: 'carebot', version: 'v1', kind: 'model', failureDomain: 'a' },
    { id: 'carebot-b', service: 'carebot', version: 'v1', kind: 'model', failureDomain: 'b' },
    { id: 'desk-a', service: 'boarding-desk', version: 'v1', kind: 'plain', failureDomain: 'a' },
    { id: 'desk-b', service: 'boarding-desk', version: 'v1', kind: 'plain', failureDomain: 'b' }
  ])
}

interface Keys {
  readonly keeper: string
  readonly visitor: string
}

async function setUp (fleet: Fleet): Promise<Keys> {
  const { admin } = fleet.routers[0]!
  const text = await readFile(new URL('../fleet.yaml', import.meta.url), 'utf8')
  const version = await applyFleetText(admin, text)
  print(`fleet text applied, version ${version}`)
  const keys = { keeper: await createOrganisation(admin, 'tortoise-house', 10_000), visitor: await createOrganisation(admin, 'small-budget', 30) }
  for (const router of fleet.routers) {
    await until(`${router.id} answers`, readyLimitMs, async () => {
      const answers = [
        await chat(router.callerUrl, { key: keys.keeper, model: 'carebot', prompt: 'ready?', maxTokens: 1 }),
        await send('GET', `${router.callerUrl}/services/boarding-desk/chambers/0`, undefined, { key: keys.keeper })
      ]
      return answers.every(answer => answer.status === 200) ? true : undefined
    })
  }
  return keys
}

async function sendRequests (fleet: Fleet, keys: Keys): Promise<void> {
  const [first, second] = fleet.routers.map(router => router.callerUrl) as [string, string]
  const streamed = await chat(first, { key: keys.keeper, model: 'carebot', prompt: 'Shall I wake the Hermann\'s tortoise?', maxTokens: 12, isStreamed: true })
  report('streamed chat completion', streamed, streamedText(streamed))
  report('plain chat completion', await chat(second, { key: keys.keeper, model: 'carebot', prompt: 'Summarise the hibernation.', maxTokens: 12 }))

  const booking = { id: 'check-in-17', owner: 'A. Keeper' }
  const bookings = (url: string) => send('POST', `${url}/services/boarding-desk/bookings`, booking, { key: keys.keeper, idempotencyKey: 'check-in-17' })
  report('booking', await bookings(first))
  report('the same idempotency key at the other router: the first answer again', await bookings(second))
  report('chamber reading', await send('GET', `${second}/services/boarding-desk/chambers/3`, undefined, { key: keys.keeper }))
  report('refused: the budget cannot cover it', await chat(first, { key: keys.visitor, model: 'carebot', prompt: 'A long story, please.', maxTokens: 200 }))
  report('refused: unknown call', await send('POST', `${second}/services/boarding-desk/chambers/3`, {}, { key: keys.keeper }))
}

async function printAccounts (fleet: Fleet): Promise<void> {
  const { admin } = fleet.routers[0]!
  const range = { fromMs: Date.now() - hourMs, toMs: Date.now() + hourMs }
  const refusals = await until('refusals are stored', recordsLimitMs, async () => {
    const { items } = await expectOk(admin.call('listRefusals', range))
    return items.some(item => item.reason === 'unknownCall') && items.some(item => item.reason === 'budgetExhausted') ? items : undefined
  })
  const billing = await until('billing records are stored', recordsLimitMs, async () => {
    const { items } = await expectOk(admin.call('listBilling', { ...range, organisation: 'tortoise-house' }))
    return items.filter(item => item.route === 'POST /bookings').length > 0 ? items : undefined
  })
  print('\nbilling of tortoise-house')
  for (const item of billing) print(`  ${item.requestId} ${item.service} ${item.version} ${item.route} ${item.tokens} tokens ${item.outcome}`)
  print('\nrefusals')
  for (const item of refusals) print(`  ${item.accountId} ${item.organisation} ${item.service} ${item.reason} ${item.verdict} x${item.count}`)
  print('\nbudgets')
  for (const organisation of ['tortoise-house', 'small-budget']) {
    const { items } = await expectOk(admin.call('listBudgets', { organisation }))
    for (const item of items) print(`  ${organisation}/${item.name} granted=${item.grantedTokens} spent=${item.spentTokens} held=${item.heldTokens} free=${item.freeTokens}`)
  }
}

const fleet = await startDemoFleet()
try {
  const keys = await setUp(fleet)
  await sendRequests(fleet, keys)
  await printAccounts(fleet)
} finally {
  await fleet.stop()
}
print('\ndone')
