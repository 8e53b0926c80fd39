/** Types of the operation handlers and the services that they use. */
import type { Result } from 'ts-results-es'
import type { Log, TimerService } from '@buckthorndrift/kernel'
import type { Documents, Membership, ObjectStore } from '@buckthorndrift/coordination'
import type { BudgetAdministration } from '../../shared/budgetAdministration.ts'
import type { InputOf, OperationName, OutputOf } from '../../shared/operations.ts'
import type { AdminProblem } from '../../shared/problem.ts'
import type { ProcessControl } from '../processControl.ts'

export interface AdminServices {
  readonly store: ObjectStore
  readonly documents: Documents
  readonly membership: Membership
  readonly budgets: BudgetAdministration
  readonly processes: ProcessControl
  readonly timers: TimerService
  readonly log: Log
}

/** Authenticated caller of an operation. */
export interface Operator {
  /** Name of the administration key that the call carried. */
  readonly name: string
}

/** One handler per operation. */
export type Handlers = {
  readonly [Name in OperationName]: (input: InputOf<Name>, operator: Operator) => Promise<Result<OutputOf<Name>, AdminProblem>>
}
