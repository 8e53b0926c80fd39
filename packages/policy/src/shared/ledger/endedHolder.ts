/**
 * Grants of ended processes. A successor on the same VM can prove an upper bound of
 * the time between the last report of its predecessor and the end of that process.
 *
 * The monotonic clock of the VM continues over the restart of a process. It starts
 * again at an arbitrary value with the VM, and stands still while the VM is
 * suspended. The wall clock continues over both, but may be set. If both clocks agree
 * on the time between two readings, it is proven.
 *
 * After a power loss or a suspension only the wall clock is left. It is trusted if it
 * has kept its difference to most of the wall clocks of other VMs: then it was not set,
 * unless most VMs were set alike in the meantime. Without either proof the whole grant
 * counts as spent.
 */
import type { Grant, OtherHolderTotals } from './ledgerValue.ts'
import { releasedTokens, type ReleaseLine } from './releaseLine.ts'

/** Both clocks of a VM, read at the same time. */
export interface ClockReading {
  /** Time since an arbitrary origin that changes with each start of the VM, in ms. */
  readonly monotonicMs: number
  /** Time since the Unix epoch in ms. */
  readonly wallMs: number
}

/** The wall clock of another VM. */
export interface ClockPeer {
  /** `HOST:PORT` of the router there. */
  readonly address: string
  /** Its wall clock minus the own one, in ms. */
  readonly offsetMs: number
}

/** The last report of a process. */
export interface HolderReport {
  readonly holder: string
  /** Era of the store in which the report was written. */
  readonly era: number
  /** Read before the report was sent. */
  readonly clock: ClockReading
  /** Wall clocks of other VMs by node, measured shortly before. */
  readonly peers: Readonly<Record<string, ClockPeer>>
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

/** Minimum number of other VMs whose clocks have to agree. */
const minWitnesses = 2
/** Change of the difference between two wall clocks up to which both count as not set. It covers the error of the measurements. */
const maxOffsetChangeMs = 150

export interface WitnessedTimeInput {
  readonly report: HolderReport
  /** Wall clock at the start of the successor. */
  readonly startWallMs: number
  /** Wall clocks of other VMs minus the own one, measured by the successor, by node. */
  readonly offsetsMs: Readonly<Record<string, number>>
}

/** Time between a report and the start of the successor by the own wall clock, if most other VMs confirm that it was not set; `undefined` otherwise. */
export function witnessedElapsedMs ({ report, startWallMs, offsetsMs }: WitnessedTimeInput): number | undefined {
  const known = Object.keys(report.peers)
  const agreeing = known.filter(node => offsetsMs[node] !== undefined && Math.abs(offsetsMs[node] - report.peers[node]!.offsetMs) <= maxOffsetChangeMs)
  const elapsedMs = startWallMs - report.clock.wallMs
  // Peers that do not respond count as disagreeing.
  if (agreeing.length < minWitnesses || agreeing.length * 2 <= known.length || elapsedMs < 0) return undefined
  return elapsedMs + maxOffsetChangeMs
}

export interface EndedHolderInput {
  readonly organisation: string
  /** Holder id of the ended process. */
  readonly holder: string
  readonly grant: Grant
  /** Last report of a process of this VM, if it could be read. */
  readonly report: HolderReport | undefined
  /** Time between the report and the start of the successor, by which the process had ended; `undefined` if it is not proven. */
  readonly elapsedMs: number | undefined
  /** Era of the store in which the grant was read. */
  readonly era: number
}

/** The grant as it counts after the process has ended: all tokens that it may have spent, and of these the ones that it is known to have spent. */
export function closeGrant ({ organisation, holder, grant, report, elapsedMs, era }: EndedHolderInput): Grant {
  // A store that was restored from a copy may have lost a later state of the grant.
  if (report === undefined || report.holder !== holder || report.era !== era) return grant
  const line = report.lines[organisation]
  if (line === undefined || elapsedMs === undefined) return grant
  const grantedTokens = Math.min(grant.grantedTokens, Math.ceil(releasedTokens(line, elapsedMs)))
  return { grantedTokens, committedTokens: Math.min(grantedTokens, Math.max(grant.committedTokens, line.committedTokens)) }
}

/** Share of a budget from which lost tokens of an ended process are stored as lost. Smaller ones are not worth a write. */
const minLostShare = 0.01

/**
 * Whether the closed grants have to be stored, given the totals of the ledger before and after. Freed tokens can be
 * granted again. Lost ones cannot, but as long as they seem to be held by a router, callers are told to come back soon.
 */
export function isClosingDue (before: OtherHolderTotals, after: OtherHolderTotals, prepaidTokens: number): boolean {
  return after.grantedTokens < before.grantedTokens || after.lostTokens - before.lostTokens > minLostShare * prepaidTokens
}
