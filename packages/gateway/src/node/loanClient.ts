/** Asks other routers for loans. */
import { Err, Ok, type Result } from 'ts-results-es'
import { Agent } from 'undici'
import { loanReplySchema, type LoanReply, type LoanRequest } from '../shared/loans.ts'

export type LoanFailure =
  /** Nothing listens there: the process has ended. */
  | { readonly kind: 'gone' }
  | { readonly kind: 'unreachable', readonly detail: string }

export interface LoanClient {
  ask (address: string, request: LoanRequest): Promise<Result<LoanReply, LoanFailure>>
  close (): Promise<void>
}

/** Longest wait for an answer beyond the time that the lender may wait for the store. */
const answerTimeoutMs = 150
export const loansPath = '/loans'

export function createLoanClient (): LoanClient {
  const agent = new Agent({ connect: { timeout: answerTimeoutMs }, keepAliveTimeout: 10_000, pipelining: 1 })
  return {
    async ask (address, request) {
      try {
        const answer = await agent.request({
          origin: `http://${address}`,
          path: loansPath,
          method: 'POST',
          body: JSON.stringify(request),
          signal: AbortSignal.timeout(Math.ceil(request.maxWaitMs) + answerTimeoutMs)
        })
        const parsed = loanReplySchema.safeParse(await answer.body.json())
        return parsed.success ? Ok(parsed.data) : Err({ kind: 'unreachable', detail: 'the answer is not a loan' })
      } catch (error) {
        if ((error as NodeJS.ErrnoException).code === 'ECONNREFUSED') return Err({ kind: 'gone' })
        return Err({ kind: 'unreachable', detail: error instanceof Error ? error.message : String(error) })
      }
    },
    close: () => agent.destroy()
  }
}
