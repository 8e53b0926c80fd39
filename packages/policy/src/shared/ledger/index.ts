export { BudgetSlice } from './budgetSlice.ts'
export { judgeRefusal, type Refusal, type RefusalInput } from './judgeRefusal.ts'
export { closedHolder, emptyLedger, ledgerSchema, othersTotal, routersOf, withClosedHolders, withGrant, type Grant, type Ledger, type OtherHolders } from './ledgerValue.ts'
export { isTight, keptTokens, needsUpdate, planGrant, unassignedShare, unassignedTokens, type GrantInput } from './planGrant.ts'
