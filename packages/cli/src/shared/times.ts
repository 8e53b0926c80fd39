/** Parsing and formatting of times on the command line. */
import { Err, Ok, type Result } from 'ts-results-es'

const unitsMs: Readonly<Record<string, number>> = { s: 1000, m: 60_000, h: 3_600_000, d: 86_400_000 }
const isoPattern = /^\d{4}-\d{2}-\d{2}(T\d{2}:\d{2}(:\d{2}(\.\d+)?)?(Z|[+-]\d{2}:\d{2}))?$/

/** Parses `2026-12-04` (midnight UTC), `2026-12-04T09:30:00Z`, `now`, or an age such as `90s`, `30m`, `6h`, `7d`. Returns ms since the Unix epoch. */
export function parseTime (text: string, nowMs: number): Result<number, string> {
  if (text === 'now') return Ok(nowMs)
  const [, amount, unit] = /^(\d{1,6})([smhd])$/.exec(text) ?? []
  if (amount !== undefined && unit !== undefined) return Ok(nowMs - Number(amount) * (unitsMs[unit] ?? 0))
  const parsed = isoPattern.test(text) ? Date.parse(text) : NaN
  return Number.isNaN(parsed) ? Err(`"${text}" is not a valid time; use 2026-12-04, 2026-12-04T09:30:00Z, or an age such as 30m, 6h or 7d`) : Ok(parsed)
}

/** Formats a time as `2026-12-04 09:30:00Z`. */
export function formatTime (atMs: number): string {
  return new Date(atMs).toISOString().replace('T', ' ').replace(/\.\d+/, '')
}
