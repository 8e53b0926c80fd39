/** One gateway of four is killed while it passes on a stream that its worker sends without a length or chunks. */
import { configuration, generation } from '../lib/configuration.mjs'
import { hasTrouble, record, runCase, send, sleep } from '../lib/fleet.mjs'

const pieces = 40
const pieceGapMs = 50
const requests = 8
const zones = ['munster-a', 'munster-b', 'munster-c', 'munster-d']
const key = 'key-walkers'

const piece = id => `id: ${id}\ndata: piece ${id}\n\n`

/** Sends a stream whose end is the end of its connection. */
async function behave (request, response, body, worker) {
  const attempt = request.headers['x-attempt-id']
  const from = Number(request.headers['last-event-id'] ?? 0) + 1
  record(`worker ${worker.id} runs attempt ${attempt} from piece ${from}`)
  const { socket } = response
  socket.write(`HTTP/1.1 200 OK\r\nX-Attempt-Id: ${attempt}\r\nX-Server-Signature: sig.${worker.id}.${attempt}\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n`)
  for (let id = from; id <= pieces && !socket.destroyed; id++) {
    socket.write(piece(id))
    await sleep(pieceGapMs)
  }
  record(`worker ${worker.id} ends attempt ${attempt}${socket.destroyed ? ', whose connection is closed' : ' after its last piece'}`)
  socket.end()
}

await runCase('review/5/record.txt', async fleet => {
  await fleet.start(configuration())
  for (const [index, zone] of zones.entries()) await fleet.addWorker(`i-writer${index}`, 'writer', zone, behave)
  for (const zone of zones) await fleet.addGateway(`front-${zone}-1`, zone)
  const broken = []
  const whole = Array.from({ length: pieces }, (_, index) => piece(index + 1)).join('')
  const answers = Array.from({ length: requests }, async (_, index) => {
    const gateway = fleet.gateways[index % zones.length]
    const answer = await send(gateway.port, '/ask/2f', { key, headers: generation(800, 200, `e4402b7${index}`), body: `question ${index}` })
    const text = answer.body.toString()
    record(`client got ${answer.status} for attempt ${answer.id} from ${gateway.name}, signature ${answer.headers['x-server-signature']}, length ${answer.headers['content-length']}, encoding ${answer.headers['transfer-encoding']}, complete ${answer.isComplete}, ${text.split('id: ').length - 1} of ${pieces} pieces${answer.error === undefined ? '' : `, error ${answer.error}`}`)
    if (answer.status === 200 && answer.isComplete && text !== whole) broken.push(`ORDER attempt ${answer.id}: the stream ends as complete before its last piece`)
  })
  await sleep(1000)
  if (hasTrouble) await fleet.gateways[0].signal('SIGKILL')
  await Promise.all(answers)
  return broken
})
