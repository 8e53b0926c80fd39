/** Starts the project's gateways as the deploy file does, with a stand-in store, and writes the record of a case. */
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, Agent, request as httpRequest } from 'node:http'
import { createServer as createTcpServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Link } from './link.mjs'
import { Store } from './store.mjs'

export const host = 'walks.example'
export const hasTrouble = process.env.TROUBLE !== '0'

export const sleep = ms => new Promise(resolve => { setTimeout(resolve, ms) })

export async function waitFor (condition, what, timeoutMs = 15_000) {
  const untilMs = performance.now() + timeoutMs
  while (!await condition()) {
    if (performance.now() > untilMs) throw new Error(`timed out: ${what}`)
    await sleep(20)
  }
}

/** Time after which the platform starts a process again. */
const restartDelayMs = 500

const startMs = performance.now()
const lines = []

/** Adds a line to the record of the case. */
export function record (line) {
  lines.push(`${((performance.now() - startMs) / 1000).toFixed(3)} ${line}`)
}

function listenOn (port) {
  return new Promise((resolve, reject) => {
    const server = createTcpServer()
    server.once('error', reject)
    server.listen(port, '127.0.0.1', () => { resolve(server) })
  })
}

/** Ports below those that the system gives to outgoing connections. */
const [minPort, portRange] = [10_000, 20_000]

/** Finds `count` free ports in a row. */
async function freePorts (count) {
  for (;;) {
    const first = minPort + Math.floor(Math.random() * portRange)
    const servers = []
    try {
      for (let offset = 0; offset < count; offset++) servers.push(await listenOn(first + offset))
      return Array.from({ length: count }, (_, offset) => first + offset)
    } catch {
      // One of the ports is taken.
    } finally {
      await Promise.all(servers.map(server => new Promise(resolve => { server.close(resolve) })))
    }
  }
}

/** Program and arguments of the router, as the deploy file has them. */
function runCommand () {
  return /^run = "(.*)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'))[1].split(' ')
}

function settings ({ name, zone, storePort, ports }) {
  const [front, ready, control, internal] = ports
  return `node_name = "${name}"
role = "router"
machine_class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "${zone}"
region = "munster"
internal_port_range = [${internal},${internal + 1}]
seeds = []
bootstrap = true
[listen]
front = "127.0.0.1:${front}"
ready = "127.0.0.1:${ready}"
control = "127.0.0.1:${control}"
[limits]
cores = 1
memory_mb = 350
file_descriptors = 4100
link_mbps = 1000.0
[bounds]
address_reuse_s = 2
contact_ms = 3000
acknowledge_ms = 4000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
configuration_apply_ms = 2000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 54
exposure_share = 0.1
exposure_slack = 50
rollback_ms = 5000
settle_ms = 1500
[platform]
address = "127.0.0.1:${storePort}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
`
}

/** One gateway process on a machine of its own. `start` may be called again after the process has ended. */
export class Gateway {
  #options
  #folder
  #child
  #isStopping = false
  /** Ends of the process that nobody asked for, as exit codes or signals. */
  ownEnds = []
  /** The link of the machine to the store. */
  storeLink
  /** Whether a process that ended by itself is started again after a short delay, as the platform does. */
  isRestarted = false

  constructor (options) {
    this.#options = options
    this.#folder = mkdtempSync(join(tmpdir(), 'review-'))
    writeFileSync(join(this.#folder, 'settings.toml'), settings(options))
  }

  get name () {
    return this.#options.name
  }

  get port () {
    return this.#options.ports[0]
  }

  start () {
    const [program, ...args] = runCommand()
    this.#isStopping = false
    const child = spawn(program === 'node' ? process.execPath : program, args, { env: { PATH: process.env.PATH, HOME: this.#folder, BUCKTHORNDRIFT_CONFIG: join(this.#folder, 'settings.toml') }, stdio: ['ignore', 'pipe', 'pipe'] })
    this.#child = child
    process.once('exit', () => { if (child.exitCode === null) child.kill('SIGKILL') })
    let errors = ''
    child.stdout.on('data', chunk => { if (process.env.SHOW_LOG === '1') process.stderr.write(chunk) })
    child.stderr.on('data', chunk => { errors = (errors + chunk).slice(0, 4000) })
    child.on('exit', (code, signal) => {
      const isOwn = !this.#isStopping
      record(`gateway ${this.name} ended${isOwn ? ' by itself' : ''}, code ${code}, signal ${signal}`)
      if (!isOwn) return
      this.ownEnds.push(code ?? signal)
      const cause = errors.split('\n').find(line => /Error|cannot/.test(line))
      if (cause !== undefined) record(`gateway ${this.name} said: ${cause.trim()}`)
      if (this.isRestarted) setTimeout(() => { if (!this.#isStopping) this.start() }, restartDelayMs)
    })
    record(`gateway ${this.name} started`)
  }

  get isRunning () {
    return this.#child !== undefined && this.#child.exitCode === null && this.#child.signalCode === null
  }

  async signal (name) {
    this.#isStopping = true
    record(`${name} to gateway ${this.name}`)
    if (this.isRunning) this.#child.kill(name)
    await waitFor(() => !this.isRunning, `the end of ${this.name}`, 12_000)
  }

  async isReady () {
    try {
      return (await fetch(`http://127.0.0.1:${this.#options.ports[1]}/api/ready`, { signal: AbortSignal.timeout(1000) })).status === 200
    } catch {
      return false
    }
  }

  removeFiles () {
    rmSync(this.#folder, { recursive: true, force: true })
  }
}

/** A stand-in worker: an HTTP server that `behave(request, response, body)` answers for. */
export class Worker {
  #server
  #port = 0
  #sockets = new Set()

  constructor (id, behave) {
    this.id = id
    this.behave = behave
  }

  get address () {
    return `127.0.0.1:${this.#port}`
  }

  async start () {
    this.#server = createServer((request, response) => {
      const chunks = []
      request.on('data', chunk => { chunks.push(chunk) })
      request.on('end', () => { this.#answer(request, response, Buffer.concat(chunks)) })
      request.on('error', () => {})
    })
    this.#server.on('connection', socket => {
      this.#sockets.add(socket)
      socket.on('error', () => {})
      socket.on('close', () => { this.#sockets.delete(socket) })
    })
    await new Promise(resolve => { this.#server.listen(this.#port, '127.0.0.1', resolve) })
    this.#port = this.#server.address().port
  }

  /** The process of the worker dies: its connections are reset, and nothing listens. */
  crash () {
    this.#server.close()
    for (const socket of this.#sockets) socket.resetAndDestroy()
  }

  stop () {
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  #answer (request, response, body) {
    const id = request.headers['x-attempt-id']
    if (request.headers['x-expected-instance'] !== undefined && request.headers['x-expected-instance'] !== this.id) {
      response.writeHead(421, { 'X-Attempt-Id': id, 'Content-Length': 0 }).end()
      return
    }
    response.on('error', () => {})
    this.behave(request, response, body, this)
  }
}

/** Headers with which a worker signs an answer. */
export const signed = (request, worker) => ({ 'X-Attempt-Id': request.headers['x-attempt-id'], 'X-Server-Signature': `sig.${worker.id}.${request.headers['x-attempt-id']}` })

export class Fleet {
  store = new Store()
  gateways = []
  workers = []
  #storePort

  async start (configuration) {
    this.#storePort = await this.store.start()
    this.store.put('config', 'main', configuration)
  }

  async addWorker (id, service, zone, behave) {
    const worker = new Worker(id, behave)
    await worker.start()
    this.workers.push(worker)
    this.store.put('servers', id, { service, address: worker.address, zone, version: 'v1', slots: 8, state: 'ready', cold_remaining_ms: 0, sequence: 1, born: Date.now() })
    return worker
  }

  async addGateway (name, zone) {
    const link = new Link(this.#storePort)
    const gateway = new Gateway({ name, zone, storePort: await link.start(), ports: await freePorts(5) })
    gateway.storeLink = link
    this.gateways.push(gateway)
    gateway.start()
    await waitFor(() => gateway.isReady(), `gateway ${name} to be ready`)
    return gateway
  }

  async stop () {
    for (const gateway of this.gateways) {
      await gateway.signal('SIGKILL')
      gateway.storeLink.stop()
      gateway.removeFiles()
    }
    for (const worker of this.workers) worker.stop()
    this.store.stop()
  }
}

let attempts = 0

/** Sends one client attempt on a new connection. `isComplete` tells whether the answer ended as its framing says. */
export function send (port, path, { method = 'POST', key, headers = {}, body, deadlineMs = 10_000 } = {}) {
  const id = `${process.pid.toString(16)}${(++attempts).toString(16).padStart(8, '0')}`
  return new Promise(resolve => {
    const chunks = []
    const end = result => { resolve({ id, body: Buffer.concat(chunks), ...result }) }
    const request = httpRequest({
      host: '127.0.0.1',
      port,
      path,
      method,
      agent: new Agent({ keepAlive: false }),
      headers: { Host: host, 'X-Attempt-Id': id, 'X-Deadline-Milliseconds': String(deadlineMs), ...(key === undefined ? {} : { Authorization: `Bearer ${key}` }), ...headers }
    }, response => {
      response.on('data', chunk => { chunks.push(chunk) })
      response.on('error', () => {})
      response.on('close', () => { end({ status: response.statusCode, headers: response.headers, isComplete: response.complete }) })
    })
    request.on('error', error => { end({ status: 0, headers: {}, isComplete: false, error: error.code ?? error.message }) })
    setTimeout(() => { request.destroy() }, deadlineMs + 1000).unref()
    request.end(body)
  })
}

/** Runs a case: exits with 1 if it returns a broken rule, 0 if not, 2 if it could not run. */
export async function runCase (recordFile, play) {
  const fleet = new Fleet()
  process.setMaxListeners(0)
  for (const signal of ['SIGTERM', 'SIGINT']) process.once(signal, () => { process.exit(2) })
  const limit = setTimeout(() => {
    for (const gateway of fleet.gateways) void gateway.signal('SIGKILL').catch(() => {})
    process.exitCode = 2
    setTimeout(() => { process.exit(2) }, 500)
  }, 115_000)
  let code = 2
  try {
    record(`trouble: ${hasTrouble ? 'yes' : 'no'}`)
    const broken = await play(fleet)
    const lost = fleet.gateways.find(gateway => !gateway.isRestarted && gateway.ownEnds.length > 0)
    if (lost !== undefined) throw new Error(`gateway ${lost.name} ended by itself`)
    code = broken.length > 0 ? 1 : 0
    for (const line of broken) record(`BROKEN ${line}`)
    record(broken.length > 0 ? 'result: the rule was broken' : 'result: the rule held')
  } catch (error) {
    record(`could not run: ${error.stack}`)
  }
  await fleet.stop().catch(() => {})
  clearTimeout(limit)
  writeFileSync(recordFile, `${lines.join('\n')}\n`)
  process.stdout.write(`${lines.slice(-12).join('\n')}\n`)
  process.exit(code)
}
