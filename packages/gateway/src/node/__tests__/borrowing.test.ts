import { Ok, type Result } from 'ts-results-es'
import { describe, expect, it } from 'vitest'
import { silentLog } from '@buckthorndrift/kernel'
import { BudgetSlice } from '@buckthorndrift/policy'
import type { LoanReply } from '../../shared/loans.ts'
import { Borrowing } from '../borrowing.ts'
import type { LoanClient } from '../loanClient.ts'
import type { PeerFailure } from '../peerRequest.ts'

const lender = { holder: 'lender.1', address: 'lender:1' }

function lent (grantedTokens: number, by = lender.holder): Result<LoanReply, PeerFailure> {
  return Ok({ kind: 'lent', grantedTokens, plannedTokens: 0, verdicts: [], lender: by, routers: 2 })
}

function createBorrowing (client: LoanClient, nowMs = () => 0): { readonly borrowing: Borrowing, readonly slice: BudgetSlice } {
  const slice = new BudgetSlice(0)
  return { slice, borrowing: new Borrowing({ organisation: 'firm', holder: 'me.1', address: 'me:1', slice, client, log: silentLog, nowMs }) }
}

describe('Borrowing', () => {
  it('ignores the response to a message after a later one was sent, because the lender may have lent those tokens again', async () => {
    const resolvers: Array<(reply: Result<LoanReply, PeerFailure>) => void> = []
    const client: LoanClient = { requestLoan: () => new Promise(resolve => { resolvers.push(resolve) }), close: () => Promise.resolve() }
    const { borrowing, slice } = createBorrowing(client)
    const first = borrowing.requestLoan(lender, [])
    const second = borrowing.requestLoan(lender, [])
    resolvers[1]!(lent(0))
    await second
    resolvers[0]!(lent(500))
    await first
    expect(slice.grantedTokens).toBe(0)
  })

  it('does not use a loan of another process at the address of the lender, because that process takes it back when it is asked by its own name', async () => {
    const client: LoanClient = { requestLoan: () => Promise.resolve(lent(500, 'lender.2')), close: () => Promise.resolve() }
    const { borrowing, slice } = createBorrowing(client)
    expect(await borrowing.requestLoan(lender, [])).toEqual({ kind: 'notLender' })
    expect(slice.grantedTokens).toBe(0)
    expect(borrowing.isLost(lender)).toBe(true)
  })

  // Guards against the last tokens of a budget lying idle at a router that gets no more requests of the organisation.
  it('returns idle tokens that it holds when the budget has become scarce, without a request of its own', async () => {
    let nowMs = 0
    const stated: number[] = []
    const replies = [{ grantedTokens: 500, plannedTokens: 400 }, { grantedTokens: 500, plannedTokens: 0 }, { grantedTokens: 0, plannedTokens: 0 }]
    const client: LoanClient = {
      requestLoan: (_address, { grantedTokens }) => {
        stated.push(grantedTokens)
        return Promise.resolve(Ok({ kind: 'lent', verdicts: [], lender: lender.holder, routers: 2, restateMs: 2000, ...replies[stated.length - 1]! }))
      },
      close: () => Promise.resolve()
    }
    const { borrowing } = createBorrowing(client, () => nowMs)
    await borrowing.requestLoan(lender, [])
    for (; nowMs < 4000; nowMs += 250) if (borrowing.isDue(lender)) await borrowing.requestLoan(lender, [])
    expect(stated).toEqual([0, 500, 0])
  })
})
