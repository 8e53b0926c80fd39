/** Finds the lines of one request in the logs of any number of processes, and says what became of it. */

export interface RequestLine {
  readonly atMs: number
  readonly node: string
  readonly message: string
  readonly event: number
  readonly context: Readonly<Record<string, unknown>>
}

export interface Explanation {
  /** One sentence. */
  readonly cause: string
  readonly lines: readonly RequestLine[]
}

/** The part of a line from its first brace on; a collector may have put a time or a node name before it. */
function parseLine (source: string): RequestLine | undefined {
  const start = source.indexOf('{')
  if (start === -1) return undefined
  try {
    const line = JSON.parse(source.slice(start)) as { context?: Record<string, unknown>, message?: unknown, time?: unknown }
    const context = line.context
    if (context === undefined || typeof line.message !== 'string' || typeof line.time !== 'number' || typeof context['event'] !== 'number') return undefined
    return { atMs: line.time, node: String(context['node'] ?? ''), message: line.message, event: context['event'], context }
  } catch {
    // Torn and foreign lines are common where the output of several programs is collected.
    return undefined
  }
}

const eventNumbers = { refused: 1832, finished: 1833, failed: 1834, abandoned: 1835 } as const

function text (line: RequestLine, field: string): string {
  const value = line.context[field]
  return value === undefined || value === null ? '' : String(value)
}

function causeOf (lines: readonly RequestLine[]): string {
  const last = lines.findLast(line => Object.values<number>(eventNumbers).includes(line.event))
  if (last === undefined) return 'The request has no last line: the process that served it was killed, or its log is missing.'
  const reason = text(last, 'detail') || text(last, 'reason')
  const at = `by ${last.node}`
  switch (last.event) {
    case eventNumbers.refused: return `The request was refused ${at} with ${text(last, 'status')}, and has not run: ${reason}.`
    case eventNumbers.failed: return `The request failed at endpoint ${text(last, 'endpoints') || '(none)'} ${at} with ${text(last, 'status')} after ${text(last, 'events')} events: ${reason || 'the endpoint said so itself'}.`
    case eventNumbers.abandoned: return `The caller left after ${text(last, 'durationMs')} ms, before the end of the answer.`
    default: return `The request was answered ${at} with ${text(last, 'status')} after ${text(last, 'durationMs')} ms.`
  }
}

/** `undefined` when no line has the id. */
export function explain (attemptId: string, sources: Iterable<string>): Explanation | undefined {
  const all: RequestLine[] = []
  for (const source of sources) {
    const line = parseLine(source)
    if (line !== undefined && line.context['attemptId'] === attemptId) all.push(line)
  }
  if (all.length === 0) return undefined
  const lines = all.toSorted((left, right) => left.atMs - right.atMs)
  return { cause: causeOf(lines), lines }
}
