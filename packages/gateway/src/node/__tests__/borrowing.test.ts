import { Ok, type Result } from 'ts-results-es'
import { describe, expect, it } from 'vitest'
import { silentLog } from '@buckthorndrift/kernel'
import { BudgetSlice } from '@buckthorndrift/policy'
import type { LoanReply } from '../../shared/loans.ts'
import { Borrowing } from '../borrowing.ts'
import type { LoanClient, LoanFailure } from '../loanClient.ts'

const lender = { holder: 'lender.1', address: 'lender:1' }

function lent (grantedTokens: number): Result<LoanReply, LoanFailure> {
  return Ok({ kind: 'lent', grantedTokens, plannedTokens: 0, verdicts: [], routers: 2 })
}

describe('Borrowing', () => {
  it('ignores the response to a message after a later one was sent, because the lender may have lent those tokens again', async () => {
    const resolvers: Array<(reply: Result<LoanReply, LoanFailure>) => void> = []
    const client: LoanClient = { requestLoan: () => new Promise(resolve => { resolvers.push(resolve) }), close: () => Promise.resolve() }
    const slice = new BudgetSlice(0)
    const borrowing = new Borrowing({ organisation: 'firm', holder: 'me.1', address: 'me:1', slice, client, log: silentLog, nowMs: () => 0 })
    const first = borrowing.requestLoan(lender, [])
    const second = borrowing.requestLoan(lender, [])
    resolvers[1]!(lent(0))
    await second
    resolvers[0]!(lent(500))
    await first
    expect(slice.grantedTokens).toBe(0)
  })
})
