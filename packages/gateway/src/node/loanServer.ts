/** HTTP server for loan requests of other routers. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { loanRequestSchema, type LoanReply, type LoanRequest } from '../shared/loans.ts'
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

export function createLoanServer (lend: (request: LoanRequest) => Promise<LoanReply>): Server {
  async function handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const read = await readBody(request, maxBodyBytes)
    if (read.kind === 'aborted') return
    const parsed = read.kind === 'read' && request.url === loansPath ? parse(read.body) : undefined
    if (parsed === undefined) {
      response.writeHead(400, { 'Content-Length': 0 }).end()
      return
    }
    const body = JSON.stringify(await lend(parsed))
    response.writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body) }).end(body)
  }
  const server = createServer((request, response) => { void handle(request, response) })
  server.on('connection', socket => { socket.on('error', () => { socket.destroy() }) })
  return server
}
