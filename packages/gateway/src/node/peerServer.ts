/** HTTP server for the messages of other routers: loan requests, clock comparisons, outcomes for rollouts, limits of endpoints and loads of engines. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { HeldMemory } from '@buckthorndrift/policy'
import type * as z from 'zod/mini'
import { limitMessageSchema, type LimitMessage, type LimitReply } from '../shared/limitMessages.ts'
import { loadMessageSchema, type LoadMessage, type LoadReply } from '../shared/loadMessages.ts'
import { loanRequestSchema, type LoanReply, type LoanRequest } from '../shared/loans.ts'
import type { StoreContact } from '../shared/storeContact.ts'
import { outcomeReportSchema, type OutcomeReportMessage, type ReportReply } from '../shared/outcomes.ts'
import { clockPath, type ClockAnswer } from './clockPeers.ts'
import { limitsPath } from './limitClient.ts'
import { loadsPath } from './loadClient.ts'
import { loansPath } from './loanClient.ts'
import { outcomesPath } from './outcomeClient.ts'
import { guardServer, type ServerGuardOptions } from './connectionGuard.ts'
import { storeContactPath } from './storePeers.ts'
import { readBody } from './readBody.ts'

const maxBodyBytes = 256 * 1024
/** Times within which a message of another router has to arrive. */
const peerTimeouts = { headersTimeout: 5000, requestTimeout: 5000, connectionsCheckingInterval: 1000 }

export interface PeerServerOptions {
  /** Limits of the connections and of the memory for messages. */
  readonly guard: ServerGuardOptions
  readonly memory: HeldMemory
  readonly nowMs: () => number
  lend (request: LoanRequest): Promise<LoanReply>
  readClock (): ClockAnswer
  /** Tells another router whether this one reaches the store. */
  storeContact (): StoreContact
  /** Takes a report of outcomes. */
  receiveOutcomes (report: OutcomeReportMessage): ReportReply
  /** Takes what another router knows of a limit. Returns `undefined` if the endpoint is not known here. */
  receiveLimit (message: LimitMessage): LimitReply | undefined
  /** Takes the load that another router puts on engines. */
  receiveLoad (message: LoadMessage): LoadReply
}

function parse<Schema extends z.ZodMiniType> (schema: Schema, body: Buffer | undefined): z.infer<Schema> | undefined {
  try {
    return schema.safeParse(JSON.parse(String(body))).data
  } catch {
    return undefined
  }
}

function sendJson (response: ServerResponse, body: LoanReply | ClockAnswer | StoreContact | LimitReply | LoadReply | ReportReply): void {
  const source = JSON.stringify(body)
  response.writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(source) }).end(source)
}

function sendStatus (response: ServerResponse, status: number): void {
  response.writeHead(status, { 'Content-Length': 0 }).end()
}

export function createPeerServer ({ guard, memory, nowMs, lend, readClock, storeContact, receiveOutcomes, receiveLimit, receiveLoad }: PeerServerOptions): Server {
  async function handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const holder = memory.open(nowMs())
    response.once('close', () => { holder.release() })
    const read = await readBody(request, { maxBytes: maxBodyBytes, holder, nowMs })
    if (read.kind === 'aborted') return
    if (read.kind === 'noMemory') {
      guard.reports.record('memory')
      response.destroy()
      return
    }
    const body = read.kind === 'read' ? read.body : undefined
    switch (request.url) {
      case clockPath:
        sendJson(response, readClock())
        return
      case storeContactPath:
        sendJson(response, storeContact())
        return
      case outcomesPath: {
        const report = parse(outcomeReportSchema, body)
        if (report === undefined) sendStatus(response, 400)
        else sendJson(response, receiveOutcomes(report))
        return
      }
      case limitsPath: {
        const message = parse(limitMessageSchema, body)
        const reply = message === undefined ? undefined : receiveLimit(message)
        if (reply === undefined) sendStatus(response, message === undefined ? 400 : 404)
        else sendJson(response, reply)
        return
      }
      case loadsPath: {
        const message = parse(loadMessageSchema, body)
        if (message === undefined) sendStatus(response, 400)
        else sendJson(response, receiveLoad(message))
        return
      }
      case loansPath: {
        const loan = parse(loanRequestSchema, body)
        if (loan === undefined) sendStatus(response, 400)
        else sendJson(response, await lend(loan))
        return
      }
      default:
        sendStatus(response, 404)
    }
  }
  return guardServer(createServer(peerTimeouts), (request, response) => { void handle(request, response) }, guard)
}
