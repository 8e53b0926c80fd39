/**
 * Grants of ended processes. A successor on the same VM can prove an upper bound of
 * the time between the last report of its predecessor and the end of that process:
 * the monotonic clock of the VM continues over the restart of a process. It starts
 * again at an arbitrary value with the VM, and stands still while the VM is
 * suspended. The wall clock continues over both, but may be set. The proof holds only
 * if both clocks agree, so after a power loss, a suspension or a step of the wall
 * clock there is none, and the whole grant counts as spent.
 */
import type { Grant } from './ledgerValue.ts'
import { releasedTokens, type ReleaseLine } from './releaseLine.ts'

/** Both clocks of a VM, read at the same time. */
export interface ClockReading {
  /** Time since an arbitrary origin that changes with each start of the VM, in ms. */
  readonly monotonicMs: number
  /** Time since the Unix epoch in ms. */
  readonly wallMs: number
}

/** The last report of a process. */
export interface HolderReport {
  readonly holder: string
  /** Era of the store in which the report was written. */
  readonly era: number
  /** Read before the report was sent. */
  readonly clock: ClockReading
  /** Lines by organisation. */
  readonly lines: Readonly<Record<string, ReleaseLine>>
}

/** Difference of the two clocks' durations up to which they agree. Adjustments of the wall clock and the time between both readings stay far below it. */
const maxClockDifferenceMs = 250

/** Time between two readings of the clocks of one VM; `undefined` when the readings do not prove it. */
export function provenElapsedMs (earlier: ClockReading, later: ClockReading): number | undefined {
  const monotonicMs = later.monotonicMs - earlier.monotonicMs
  const wallMs = later.wallMs - earlier.wallMs
  if (monotonicMs < 0 || wallMs < 0 || Math.abs(monotonicMs - wallMs) > maxClockDifferenceMs) return undefined
  return Math.max(monotonicMs, wallMs)
}

export interface EndedHolderInput {
  readonly organisation: string
  /** Holder id of the ended process. */
  readonly holder: string
  readonly grant: Grant
  /** Last report of a process of this VM, if it could be read. */
  readonly report: HolderReport | undefined
  /** Clocks of the VM when the successor started; the ended process had ended by then. */
  readonly startClock: ClockReading
  /** Era of the store in which the grant was read. */
  readonly era: number
}

/** The grant as it counts after the process has ended: all tokens that it may have spent, and of these the ones that it is known to have spent. */
export function closeGrant ({ organisation, holder, grant, report, startClock, era }: EndedHolderInput): Grant {
  // A store that was restored from a copy may have lost a later state of the grant.
  if (report === undefined || report.holder !== holder || report.era !== era) return grant
  const line = report.lines[organisation]
  const elapsedMs = provenElapsedMs(report.clock, startClock)
  if (line === undefined || elapsedMs === undefined) return grant
  const grantedTokens = Math.min(grant.grantedTokens, Math.ceil(releasedTokens(line, elapsedMs)))
  return { grantedTokens, committedTokens: Math.min(grantedTokens, Math.max(grant.committedTokens, line.committedTokens)) }
}
