/** Finds the log lines of one request in the logs of any number of processes, and derives its outcome. */

/** A parsed log line. */
export interface RequestLine {
  readonly atMs: number
  readonly node: string
  readonly message: string
  readonly event: number
  readonly context: Readonly<Record<string, unknown>>
}

export interface Explanation {
  /** Outcome of the request in one sentence. */
  readonly cause: string
  /** Sorted by time. */
  readonly lines: readonly RequestLine[]
}

/** Parses a log line from its first brace on, because a log collector may put a time or a node name in front. */
function parseLine (rawLine: string): RequestLine | undefined {
  const start = rawLine.indexOf('{')
  if (start === -1) return undefined
  try {
    const line = JSON.parse(rawLine.slice(start)) as { context?: Record<string, unknown>, message?: unknown, time?: unknown }
    const context = line.context
    if (context === undefined || typeof line.message !== 'string' || typeof line.time !== 'number' || typeof context['event'] !== 'number') return undefined
    return { atMs: line.time, node: String(context['node'] ?? ''), message: line.message, event: context['event'], context }
  } catch {
    // Collected logs often contain truncated lines and lines of other programs.
    return undefined
  }
}

/** Events that end a request, by their numbers in the event catalogue. */
const eventNumbers = { refused: 1832, finished: 1833, failed: 1834, abandoned: 1835 } as const

function fieldText (line: RequestLine, field: string): string {
  const value = line.context[field]
  return value === undefined || value === null ? '' : String(value)
}

function causeOf (lines: readonly RequestLine[]): string {
  const last = lines.findLast(line => Object.values<number>(eventNumbers).includes(line.event))
  if (last === undefined) return 'The request has no last line: the process that served it was killed, or its log is missing.'
  const reason = fieldText(last, 'detail') || fieldText(last, 'reason')
  const servedBy = `by ${last.node}`
  switch (last.event) {
    case eventNumbers.refused: return `The request was refused ${servedBy} with ${fieldText(last, 'status')}, and has not run: ${reason}.`
    case eventNumbers.failed: return `The request failed at endpoint ${fieldText(last, 'endpoints') || '(none)'} ${servedBy} with ${fieldText(last, 'status')} after ${fieldText(last, 'events')} events: ${reason || 'the endpoint said so itself'}.`
    case eventNumbers.abandoned: return `The caller left after ${fieldText(last, 'durationMs')} ms, before the end of the answer.`
    default: return `The request was answered ${servedBy} with ${fieldText(last, 'status')} after ${fieldText(last, 'durationMs')} ms.`
  }
}

/** Explains the outcome of one request attempt. Returns `undefined` when no line has its id. */
export function explain (attemptId: string, rawLines: Iterable<string>): Explanation | undefined {
  const all: RequestLine[] = []
  for (const rawLine of rawLines) {
    const line = parseLine(rawLine)
    if (line !== undefined && line.context['attemptId'] === attemptId) all.push(line)
  }
  if (all.length === 0) return undefined
  const lines = all.toSorted((left, right) => left.atMs - right.atMs)
  return { cause: causeOf(lines), lines }
}
