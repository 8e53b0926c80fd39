import type { LedgerOptions } from '../ledgerOptions.ts'

/** Ledger options without reports and without predecessors, for tests of other parts. */
export const unlimitedReleases: Pick<LedgerOptions, 'reporter' | 'predecessors'> = {
  reporter: { releaseLimit: () => Infinity, releaseDelayMs: () => 0, report: () => Promise.resolve(true) },
  predecessors: { close: () => undefined }
}
