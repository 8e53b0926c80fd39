/** HTTP server for loan requests and clock comparisons of other routers. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { loanRequestSchema, type LoanReply, type LoanRequest } from '../shared/loans.ts'
import { clockPath, type ClockAnswer } from './clockPeers.ts'
import { loansPath } from './loanClient.ts'
import { readBody } from './readBody.ts'

const maxBodyBytes = 256 * 1024

function parse (body: Buffer | undefined): LoanRequest | undefined {
  try {
    return loanRequestSchema.safeParse(JSON.parse(String(body))).data
  } catch {
    return undefined
  }
}

export interface LoanServerOptions {
  lend (request: LoanRequest): Promise<LoanReply>
  readClock (): ClockAnswer
}

function sendJson (response: ServerResponse, body: LoanReply | ClockAnswer): void {
  const source = JSON.stringify(body)
  response.writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(source) }).end(source)
}

export function createLoanServer ({ lend, readClock }: LoanServerOptions): Server {
  async function handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.url === clockPath) {
      sendJson(response, readClock())
      return
    }
    const read = await readBody(request, maxBodyBytes)
    if (read.kind === 'aborted') return
    const parsed = read.kind === 'read' && request.url === loansPath ? parse(read.body) : undefined
    if (parsed === undefined) {
      response.writeHead(400, { 'Content-Length': 0 }).end()
      return
    }
    sendJson(response, await lend(parsed))
  }
  const server = createServer((request, response) => { void handle(request, response) })
  server.on('connection', socket => { socket.on('error', () => { socket.destroy() }) })
  return server
}
