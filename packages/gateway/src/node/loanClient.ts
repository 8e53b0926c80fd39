/** HTTP client for loan requests to other routers. */
import { Err, Ok, type Result } from 'ts-results-es'
import { Agent } from 'undici'
import { loanReplySchema, type LoanReply, type LoanRequest } from '../shared/loans.ts'
import { postToPeer, type PeerFailure } from './peerRequest.ts'

export interface LoanClient {
  requestLoan (address: string, request: LoanRequest): Promise<Result<LoanReply, PeerFailure>>
  close (): Promise<void>
}

/** Response timeout, in addition to the time that the lender may wait for the store. */
const responseTimeoutMs = 150
export const loansPath = '/loans'

export function createLoanClient (): LoanClient {
  const agent = new Agent({ connect: { timeout: responseTimeoutMs }, keepAliveTimeout: 10_000, pipelining: 1 })
  return {
    async requestLoan (address, request) {
      const response = await postToPeer(agent, address, loansPath, request, Math.ceil(request.maxWaitMs) + responseTimeoutMs)
      return response.andThen<LoanReply, PeerFailure>(({ body }) => {
        const parsed = loanReplySchema.safeParse(body)
        return parsed.success ? Ok(parsed.data) : Err({ kind: 'unreachable', detail: 'the response is not a valid loan reply' })
      })
    },
    close: () => agent.destroy()
  }
}
