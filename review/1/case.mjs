/** A worker crashes in the middle of a resumable stream, and the worker at which the gateway resumes answers with a failure. */
import { configuration, generation } from '../lib/configuration.mjs'
import { hasTrouble, record, runCase, send, signed, sleep } from '../lib/fleet.mjs'

const pieces = 30
const pieceGapMs = 30
const requests = 6
const crashAtPiece = 10
const key = 'key-walkers'

const piece = id => `id: ${id}\ndata: piece ${id}\n\n`

/** Attempts that the crash broke off. The next worker answers them with a failure of its own. */
const interrupted = new Set()
/** Attempts that run at each worker. */
const running = new Map()
let hasCrashed = false

/** The one disruption: the worker crashes, and is back after two seconds. */
function crash (worker) {
  hasCrashed = true
  for (const attempt of running.get(worker.id)) interrupted.add(attempt)
  record(`worker ${worker.id} crashes, it runs ${running.get(worker.id).size} attempts`)
  worker.crash()
  setTimeout(() => { void worker.start() }, 2000)
}

async function behave (request, response, body, worker) {
  const attempt = request.headers['x-attempt-id']
  const from = Number(request.headers['last-event-id'] ?? 0) + 1
  if (interrupted.has(attempt)) {
    record(`worker ${worker.id} answers attempt ${attempt} (from piece ${from}) with 500`)
    response.writeHead(500, { ...signed(request, worker), 'Content-Type': 'text/plain', 'Content-Length': 15 }).end('internal error\n')
    return
  }
  record(`worker ${worker.id} runs attempt ${attempt} from piece ${from}`)
  running.set(worker.id, (running.get(worker.id) ?? new Set()).add(attempt))
  response.writeHead(200, { ...signed(request, worker), 'Content-Type': 'text/event-stream' })
  for (let id = from; id <= pieces; id++) {
    if (response.destroyed) return
    response.write(piece(id))
    await sleep(pieceGapMs)
    if (hasTrouble && !hasCrashed && id === crashAtPiece) crash(worker)
  }
  running.get(worker.id).delete(attempt)
  response.end()
}

await runCase('review/1/record.txt', async fleet => {
  await fleet.start(configuration())
  for (const [index, zone] of ['munster-a', 'munster-b', 'munster-c', 'munster-d'].entries()) await fleet.addWorker(`i-writer${index}`, 'writer', zone, behave)
  const gateway = await fleet.addGateway('front-munster-a-1', 'munster-a')
  const broken = []
  const whole = Array.from({ length: pieces }, (_, index) => piece(index + 1)).join('')
  await Promise.all(Array.from({ length: requests }, async (_, index) => {
    await sleep(index * 20)
    const answer = await send(gateway.port, '/ask/2f', { key, headers: generation(800, 200, `e4402b7${index}`), body: `question ${index}` })
    const text = answer.body.toString()
    record(`client got ${answer.status} for attempt ${answer.id}, signature ${answer.headers['x-server-signature']}, complete ${answer.isComplete}, ${text.split('id: ').length - 1} of ${pieces} pieces, last bytes ${JSON.stringify(text.slice(-30))}`)
    if (answer.status === 200 && answer.isComplete && text !== whole) broken.push(`ORDER attempt ${answer.id}: the stream ends as complete before its last piece`)
  }))
  return broken
})
