export { combineVerdicts, fail, mayHaveRun, notRun, ran, type Failure, type FailureReason, type Verdict, type VerdictKind } from './verdict.ts'
export { httpStatusOf } from './status.ts'
