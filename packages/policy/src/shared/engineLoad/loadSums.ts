/**
 * Sums of the loads that routers report to their aggregator. Answers fleets of many
 * routers, where each one alone knows only a small part of what an engine has to do.
 */
import { addLoads, noLoad, type EngineLoad, type EngineLoads } from './engineLoad.ts'

export interface OthersLoad {
  readonly loads: EngineLoads
  /** Mean age of the reports in the sums; 0 without any. */
  readonly ageMs: number
  /** Number of routers that the sums count. */
  readonly routers: number
}

interface Report {
  readonly loads: EngineLoads
  readonly receivedMs: number
}

/** Age from which a report is left out. Its router has stopped, or has no more traffic. */
const maxReportAgeMs = 1000

export class LoadSums {
  readonly #reports = new Map<string, Report>()

  /** Takes the report of a router and returns the sums of all others. */
  exchange (router: string, loads: EngineLoads, nowMs: number): OthersLoad {
    this.#reports.set(router, { loads, receivedMs: nowMs })
    const sums = new Map<string, EngineLoad>()
    let ageSumMs = 0
    let count = 0
    for (const [other, report] of this.#reports) {
      const ageMs = nowMs - report.receivedMs
      if (ageMs >= maxReportAgeMs) this.#reports.delete(other)
      if (other === router || ageMs >= maxReportAgeMs) continue
      ageSumMs += ageMs
      count++
      for (const [endpoint, load] of report.loads) sums.set(endpoint, addLoads(sums.get(endpoint) ?? noLoad, load))
    }
    return { loads: sums, ageMs: count === 0 ? 0 : ageSumMs / count, routers: count }
  }
}
