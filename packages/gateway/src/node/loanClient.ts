/** HTTP client for loan requests to other routers. */
import { Err, Ok, type Result } from 'ts-results-es'
import { Agent } from 'undici'
import { loanReplySchema, type LoanReply, type LoanRequest } from '../shared/loans.ts'

export type LoanFailure =
  /** The connection was refused, so the process has ended. */
  | { readonly kind: 'gone' }
  | { readonly kind: 'unreachable', readonly detail: string }

export interface LoanClient {
  requestLoan (address: string, request: LoanRequest): Promise<Result<LoanReply, LoanFailure>>
  close (): Promise<void>
}

/** Response timeout, in addition to the time that the lender may wait for the store. */
const responseTimeoutMs = 150
export const loansPath = '/loans'

export function createLoanClient (): LoanClient {
  const agent = new Agent({ connect: { timeout: responseTimeoutMs }, keepAliveTimeout: 10_000, pipelining: 1 })
  return {
    async requestLoan (address, request) {
      try {
        const response = await agent.request({
          origin: `http://${address}`,
          path: loansPath,
          method: 'POST',
          body: JSON.stringify(request),
          signal: AbortSignal.timeout(Math.ceil(request.maxWaitMs) + responseTimeoutMs)
        })
        const parsed = loanReplySchema.safeParse(await response.body.json())
        return parsed.success ? Ok(parsed.data) : Err({ kind: 'unreachable', detail: 'the response is not a valid loan reply' })
      } catch (error) {
        if ((error as NodeJS.ErrnoException).code === 'ECONNREFUSED') return Err({ kind: 'gone' })
        return Err({ kind: 'unreachable', detail: error instanceof Error ? error.message : String(error) })
      }
    },
    close: () => agent.destroy()
  }
}
