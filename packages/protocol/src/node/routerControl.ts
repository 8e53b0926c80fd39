/** tRPC router of the control API of router processes. The plugins of the process supply the handlers. */
import { z } from 'zod'
import {
  crashReportInput, exchangeInput, exchangeOutput, handOverRecordsInput, recallInput, replicateAccountsInput,
  reportOutcomesInput, reserveInput, reserveItemOutput, settledSeqInput, settleInput,
  type CrashReportInput, type ExchangeInput, type ExchangeOutput, type HandOverRecordsInput, type RecallInput,
  type ReplicateAccountsInput, type ReportOutcomesInput, type ReserveInput, type ReserveItemOutput,
  type SettledSeqInput, type SettleInput
} from '../shared/routerControl.ts'
import { controlRouter, fleetProcedure } from './trpc.ts'

export interface BudgetHandlers {
  reserve (input: ReserveInput): Promise<readonly ReserveItemOutput[]>
  settle (input: SettleInput): Promise<void>
  recall (input: RecallInput): Promise<void>
  settledSeq (input: SettledSeqInput): Promise<number>
}

export interface DocumentHandlers {
  exchange (input: ExchangeInput): Promise<ExchangeOutput>
}

export interface RecordHandlers {
  replicateAccounts (input: ReplicateAccountsInput): Promise<void>
  handOver (input: HandOverRecordsInput): Promise<void>
}

/** Handlers for crash reports, and for the request counts that decide whether a rollout continues or is rolled back. */
export interface EvidenceHandlers {
  reportCrash (input: CrashReportInput): Promise<void>
  reportOutcomes (input: ReportOutcomesInput): Promise<void>
}

export interface RouterControlHandlers {
  readonly budget: BudgetHandlers
  readonly documents: DocumentHandlers
  readonly records: RecordHandlers
  readonly evidence: EvidenceHandlers
}

/** Creates the tRPC router. */
export function createRouterControl (handlers: RouterControlHandlers) {
  return controlRouter({
    budget: controlRouter({
      reserve: fleetProcedure.input(reserveInput).output(z.array(reserveItemOutput).readonly())
        .mutation(({ input }) => handlers.budget.reserve(input)),
      settle: fleetProcedure.input(settleInput).mutation(({ input }) => handlers.budget.settle(input)),
      recall: fleetProcedure.input(recallInput).mutation(({ input }) => handlers.budget.recall(input)),
      settledSeq: fleetProcedure.input(settledSeqInput).query(({ input }) => handlers.budget.settledSeq(input))
    }),
    documents: controlRouter({
      exchange: fleetProcedure.input(exchangeInput).output(exchangeOutput)
        .mutation(({ input }) => handlers.documents.exchange(input))
    }),
    records: controlRouter({
      replicateAccounts: fleetProcedure.input(replicateAccountsInput)
        .mutation(({ input }) => handlers.records.replicateAccounts(input)),
      handOver: fleetProcedure.input(handOverRecordsInput).mutation(({ input }) => handlers.records.handOver(input))
    }),
    evidence: controlRouter({
      reportCrash: fleetProcedure.input(crashReportInput).mutation(({ input }) => handlers.evidence.reportCrash(input)),
      reportOutcomes: fleetProcedure.input(reportOutcomesInput)
        .mutation(({ input }) => handlers.evidence.reportOutcomes(input))
    })
  })
}

export type RouterControl = ReturnType<typeof createRouterControl>
