/** A scripted endpoint process for tests of the caller path. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import {
  callHeader, callSchema, requestIdHeader, createControlHandler, createEndpointControl, loadHeader, settlementTrailer, verdictHeader,
  type Call, type ClaimHandlers, type ClaimInput, type ClaimOutput, type Load, type Member, type Settlement
} from '@buckthorndrift/protocol'
import { H3, toNodeHandler } from 'h3'

export interface ReceivedCall {
  readonly call: Call
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly body: string
}

export type Script = (received: ReceivedCall) => void | Promise<void>
/** `offset` in bytes. */
export type AttachScript = (requestId: string, offset: number, response: ServerResponse) => void | Promise<void>

const idle: Load = { inFlight: 0, limit: 8, queued: 0, leaving: false, healthy: true }

/** Answers with a body and the settlement trailer. */
export function respond (response: ServerResponse, requestId: string, body: string, settlement: Partial<Settlement> = {}, load: Partial<Load> = {}): void {
  response.writeHead(200, { 'content-type': 'application/json', trailer: settlementTrailer, [loadHeader]: JSON.stringify({ ...idle, ...load }) })
  response.write(body)
  endWithSettlement(response, requestId, settlement)
}

/** Ends a chunked body with the settlement trailer. */
export function endWithSettlement (response: ServerResponse, requestId: string, settlement: Partial<Settlement> = {}): void {
  response.addTrailers({ [settlementTrailer]: JSON.stringify({ requestId, tokens: 5, outcome: 'completed', ...settlement }) })
  response.end()
}

/** Refuses with a problem body. */
export function respondWithProblem (response: ServerResponse, reason: string, verdict: string, status = 503, load: Partial<Load> = {}): void {
  response.writeHead(status, { 'content-type': 'application/problem+json', [verdictHeader]: verdict, [loadHeader]: JSON.stringify({ ...idle, ...load }) })
  response.end(JSON.stringify({ type: 'about:blank', title: reason, status, detail: reason, verdict, reason, requestId: 'x' }))
}

export class FakeEndpoint {
  readonly received: ReceivedCall[] = []
  readonly attachRequests: { readonly requestId: string, readonly offset: number, readonly incarnation: string | null }[] = []
  readonly abandonedRequestIds: string[] = []
  script: Script = ({ call, response }) => { respond(response, call.requestId, '{"ok":true}') }
  attachScript: AttachScript = (_, _offset, response) => { respondWithProblem(response, 'endpointLost', 'notRun') }
  claims: ClaimHandlers = {
    claim: async (input: ClaimInput): Promise<ClaimOutput> => this.#claim(input),
    replicate: async () => ({ isAccepted: true, epoch: 1 }),
    takeOver: async () => {}
  }

  readonly #held = new Map<string, ClaimInput['claim']>()
  readonly #sockets = new Set<Socket>()
  readonly #server = createServer((request, response) => { this.#route(request, response).catch(() => { response.destroy() }) })
  readonly #id: string
  readonly #options: Partial<Member>
  #control: ReturnType<typeof toNodeHandler> | undefined
  #port = 0

  constructor (id: string, options: Partial<Member> = {}) {
    this.#id = id
    this.#options = options
    this.#server.on('connection', socket => {
      this.#sockets.add(socket)
      socket.once('close', () => { this.#sockets.delete(socket) })
    })
  }

  get member (): Member {
    return {
      id: this.#id,
      incarnation: '1',
      role: 'endpoint',
      vm: `vm-${this.#id}`,
      failureDomain: 'a',
      controlUrl: `http://127.0.0.1:${this.#port}`,
      service: 'desk',
      version: 'v1',
      leaving: false,
      ...this.#options
    }
  }

  async open (): Promise<this> {
    const claims: ClaimHandlers = {
      claim: input => this.claims.claim(input),
      replicate: input => this.claims.replicate(input),
      takeOver: input => this.claims.takeOver(input)
    }
    const handle = createControlHandler(createEndpointControl({
      slices: { fence: async () => { throw new Error('unused') }, forget: async () => {} },
      records: { acknowledge: async () => {} },
      claims,
      lifecycle: { drain: async () => {}, order: async () => ({ kind: 'accepted' }) }
    }), 'secret')
    this.#control = toNodeHandler(new H3().all('/trpc/**', event => handle(event.req)))
    await new Promise<void>(resolve => { this.#server.listen(0, '127.0.0.1', resolve) })
    this.#port = (this.#server.address() as AddressInfo).port
    return this
  }

  /** Cuts all connections and stops listening, as a process that is killed. */
  async kill (): Promise<void> {
    const closed = new Promise<void>(resolve => { this.#server.close(() => { resolve() }) })
    for (const socket of this.#sockets) socket.destroy()
    await closed
  }

  async #route (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://x')
    if (url.pathname.startsWith('/trpc')) { await this.#control?.(request, response); return }
    if (url.pathname.startsWith('/attach/')) { await this.#attach(request, response, url); return }
    const parts: Buffer[] = []
    for await (const part of request) parts.push(part as Buffer)
    const call = callSchema.parse(JSON.parse(String(request.headers[callHeader])))
    response.setHeader(requestIdHeader, call.requestId)
    const received = { call, request, response, body: Buffer.concat(parts).toString() }
    this.received.push(received)
    await this.script(received)
  }

  async #attach (request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> {
    const requestId = decodeURIComponent(url.pathname.slice('/attach/'.length))
    if (request.method === 'DELETE') {
      this.abandonedRequestIds.push(requestId)
      response.writeHead(204).end()
      return
    }
    const offset = Number(url.searchParams.get('offset'))
    this.attachRequests.push({ requestId, offset, incarnation: url.searchParams.get('incarnation') })
    response.setHeader(requestIdHeader, requestId)
    await this.attachScript(requestId, offset, response)
  }

  #claim ({ claim, replaces }: ClaimInput): ClaimOutput {
    const held = this.#held.get(claim.keyHash)
    if (held !== undefined && held.requestId !== replaces) return { kind: 'held', claim: held }
    this.#held.set(claim.keyHash, claim)
    return { kind: 'granted' }
  }
}
