/** Which endpoints are cold: slow for some seconds after a start or at any later moment, as their entries in the store say. */

/** What an entry says of one endpoint. */
export interface ColdReport {
  readonly id: string
  /** Start of the incarnation; `undefined` if it does not tell. */
  readonly startedAtMs: number | undefined
  /** Number of heartbeats of the incarnation when it wrote the entry. */
  readonly sequence: number
  /** Time for which the endpoint stayed cold from then on. */
  readonly coldRemainingMs: number
}

interface KnownReport {
  readonly report: ColdReport
  readonly untilMs: number
}

/** Whether a report adds nothing to the known one: it is the same, or older as after a restore of the store from a copy. */
function isKnown (report: ColdReport, known: ColdReport): boolean {
  if (report.startedAtMs !== known.startedAtMs || report.sequence > known.sequence) return false
  return report.sequence < known.sequence || report.coldRemainingMs === known.coldRemainingMs
}

export class ColdEndpoints {
  readonly #states = new Map<string, KnownReport>()
  /** Time until which endpoints may be cold without an entry that says so. */
  readonly #presumedUntilMs = new Map<string, number>()

  /** Records an entry read at `nowMs`. Its age is not known, so the time that it names counts from now on, at the first reading only. Returns whether the endpoint became cold. */
  record (report: ColdReport, nowMs: number): boolean {
    const state = this.#states.get(report.id)
    if (state !== undefined && isKnown(report, state.report)) return false
    const wasCold = state !== undefined && state.report.startedAtMs === report.startedAtMs && state.untilMs > nowMs
    this.#states.set(report.id, { report, untilMs: nowMs + report.coldRemainingMs })
    return report.coldRemainingMs > 0 && !wasCold
  }

  /** Takes an endpoint for cold until `untilMs`, because an entry that says so may be on its way. */
  presume (id: string, untilMs: number): void {
    this.#presumedUntilMs.set(id, untilMs)
  }

  forget (id: string): void {
    this.#presumedUntilMs.delete(id)
    this.#states.delete(id)
  }

  /** Time until which the endpoint is cold; `-Infinity` if it has never been. */
  untilMs (id: string): number {
    return Math.max(this.#states.get(id)?.untilMs ?? -Infinity, this.#presumedUntilMs.get(id) ?? -Infinity)
  }
}
