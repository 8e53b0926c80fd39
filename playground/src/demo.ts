/** Demo: starts a small fleet, sends requests as callers do, and prints the billing records, refusals and budgets that result. */
import { chat, send, streamedText, type CallResponse } from './callers.ts'
import type { Fleet } from './fleet.ts'
import { createOrganisation, expectOk, startExampleFleet, waitUntil } from './setUp.ts'

const recordsTimeoutMs = 15_000
const hourMs = 3_600_000

function print (line: string): void {
  process.stdout.write(`${line}\n`)
}

function printResponse (title: string, response: CallResponse, text = response.text): void {
  const verdict = response.headers['bd-verdict']
  const refusal = verdict === undefined ? '' : ` verdict=${String(verdict)}`
  print(`\n${title}\n  status=${response.status}${refusal}\n  ${text.trim().slice(0, 300)}`)
}

interface Keys {
  readonly keeper: string
  readonly visitor: string
}

/** Waits until a router accepts a key that was just created. */
async function waitUntilKeyAccepted (callerUrl: string, key: string): Promise<void> {
  await waitUntil('the router accepts the key', recordsTimeoutMs, async () => {
    const response = await send('GET', `${callerUrl}/services/boarding-desk/chambers/0`, undefined, { key })
    return response.status === 401 ? undefined : true
  })
}

async function sendRequests (fleet: Fleet, keys: Keys): Promise<void> {
  const [first, second] = fleet.routers.map(router => router.callerUrl) as [string, string]
  const streamed = await chat(first, { key: keys.keeper, model: 'carebot', prompt: 'Shall I wake the Hermann\'s tortoise?', maxTokens: 12, isStreamed: true })
  printResponse('streamed chat completion', streamed, streamedText(streamed))
  printResponse('plain chat completion', await chat(second, { key: keys.keeper, model: 'carebot', prompt: 'Summarise the hibernation.', maxTokens: 12 }))

  const booking = { id: 'check-in-17', owner: 'A. Keeper' }
  const sendBooking = (url: string) => send('POST', `${url}/services/boarding-desk/bookings`, booking, { key: keys.keeper, idempotencyKey: 'check-in-17' })
  printResponse('booking', await sendBooking(first))
  printResponse('the same idempotency key at the other router: the first answer again', await sendBooking(second))
  printResponse('chamber reading', await send('GET', `${second}/services/boarding-desk/chambers/3`, undefined, { key: keys.keeper }))
  printResponse('refused: the budget cannot cover it', await chat(first, { key: keys.visitor, model: 'carebot', prompt: 'A long story, please.', maxTokens: 200 }))
  printResponse('refused: unknown call', await send('POST', `${second}/services/boarding-desk/chambers/3`, {}, { key: keys.keeper }))
}

async function printRecords (fleet: Fleet): Promise<void> {
  const { admin } = fleet.routers[0]!
  const range = { fromMs: Date.now() - hourMs, toMs: Date.now() + hourMs }
  const refusals = await waitUntil('the refusals are stored', recordsTimeoutMs, async () => {
    const { items } = await expectOk(admin.call('listRefusals', range))
    return items.some(item => item.reason === 'unknownCall') && items.some(item => item.reason === 'budgetExhausted') ? items : undefined
  })
  const billing = await waitUntil('the billing records are stored', recordsTimeoutMs, async () => {
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

const { fleet, key } = await startExampleFleet(10_000)
try {
  const visitorKey = await createOrganisation(fleet.routers[0]!.admin, 'small-budget', 30)
  for (const router of fleet.routers) await waitUntilKeyAccepted(router.callerUrl, visitorKey)
  await sendRequests(fleet, { keeper: key, visitor: visitorKey })
  await printRecords(fleet)
} finally {
  await fleet.stop()
}
print('\ndone')
