/** The store lists an entry from another writer, whose address is none. */
import { configuration } from '../lib/configuration.mjs'
import { hasTrouble, record, runCase, send, signed, sleep } from '../lib/fleet.mjs'

const requests = 600
/** Ends of a process on a machine that the rule allows, and the machines on which it counts. */
const [minEnds, minMachines] = [3, 2]
const key = 'key-walkers'
const gapMs = 60

function behave (request, response, body, worker) {
  record(`worker ${worker.id} runs attempt ${request.headers['x-attempt-id']}`)
  response.writeHead(200, { ...signed(request, worker), 'Content-Length': 7 }).end('booked\n')
}

await runCase('review/4/record.txt', async fleet => {
  await fleet.start(configuration())
  for (const [index, zone] of ['munster-a', 'munster-b', 'munster-c'].entries()) await fleet.addWorker(`i-desk${index}`, 'bookings', zone, behave)
  for (const zone of ['munster-a', 'munster-b']) (await fleet.addGateway(`front-${zone}-1`, zone)).isRestarted = true
  if (hasTrouble) {
    record('the store lists an entry of another writer, with the address 127.0.0.1:70000')
    fleet.store.put('servers', 'i-other', { service: 'bookings', address: '127.0.0.1:70000', zone: 'munster-a', version: 'v1', slots: 8, state: 'ready', cold_remaining_ms: 0, sequence: 1, born: Date.now() })
  }
  await sleep(3000)
  for (let index = 0; index < requests; index++) {
    const gateway = fleet.gateways[index % fleet.gateways.length]
    const answer = await send(gateway.port, '/book/2f', { key, body: `booking ${index}`, deadlineMs: 2500 })
    record(`client got ${answer.status === 0 ? answer.error : answer.status} for attempt ${answer.id} from gateway ${gateway.name}`)
    await sleep(gapMs)
  }
  const ended = fleet.gateways.filter(gateway => gateway.ownEnds.length >= minEnds)
  for (const gateway of fleet.gateways) record(`gateway ${gateway.name} ended by itself ${gateway.ownEnds.length} times`)
  return ended.length >= minMachines ? [`Fault: on ${ended.length} of ${fleet.gateways.length} machines processes ended by themselves three times or more, with no disruption there`] : []
})
