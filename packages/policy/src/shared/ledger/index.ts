export { BudgetSlice } from './budgetSlice.ts'
export { closedHolder, emptyLedger, holderCount, ledgerHolders, ledgerSchema, othersTotal, withClosedHolders, withGrants, type Grant, type Ledger } from './ledgerValue.ts'
export { unassignedTokens, isTight, needsUpdate, planGrant, type GrantInput } from './planGrant.ts'
