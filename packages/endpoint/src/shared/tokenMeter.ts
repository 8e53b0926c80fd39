/** Counts the tokens of a model's response by scanning its bytes. */

const newline = 0x0a
const dataField = Buffer.from('data:')

/** Number of bytes at the end of a stream that are searched for `usage`. */
export const usageTailBytes = 8192

/**
 * Counts server-sent events with data. Each counts as one token unless the
 * engine reports `usage`. Compares only the first bytes of each line.
 */
export class TokenMeter {
  #dataEventCount = 0
  /** Number of bytes of `data:` matched at the start of the current line; -1 once the comparison has ended. */
  #matchedBytes = 0
  #isAtLineStart = true
  #hasLineContent = false
  #hasEventData = false

  /** Number of events with data so far. */
  get dataEventCount (): number { return this.#dataEventCount }

  /** Whether a comment line can be inserted at this position without changing an event. */
  get isAtLineStart (): boolean { return this.#isAtLineStart }

  scan (bytes: Buffer): void {
    let position = 0
    while (position < bytes.length) {
      while (this.#matchedBytes >= 0 && position < bytes.length && bytes[position] !== newline) this.#matchByte(bytes[position++]!)
      const end = bytes.indexOf(newline, position)
      if (end === -1) break
      this.#endLine()
      position = end + 1
    }
    if (bytes.length > 0) this.#isAtLineStart = bytes[bytes.length - 1] === newline
  }

  #matchByte (byte: number): void {
    if (byte !== 0x0d) this.#hasLineContent = true
    if (byte !== dataField[this.#matchedBytes]) {
      this.#matchedBytes = -1
    } else if (++this.#matchedBytes === dataField.length) {
      this.#matchedBytes = -1
      this.#hasEventData = true
    }
  }

  #endLine (): void {
    if (!this.#hasLineContent && this.#hasEventData) {
      this.#dataEventCount += 1
      this.#hasEventData = false
    }
    this.#matchedBytes = 0
    this.#hasLineContent = false
  }
}

interface Usage {
  readonly promptTokens: number
  readonly completionTokens: number
}

function parseUsage (text: string): Usage | undefined {
  try {
    const usage = (JSON.parse(text) as { usage?: { prompt_tokens?: unknown, completion_tokens?: unknown } | null }).usage
    if (usage === null || usage === undefined) return undefined
    const promptTokens = Number(usage.prompt_tokens)
    const completionTokens = Number(usage.completion_tokens)
    if (!Number.isSafeInteger(promptTokens) || !Number.isSafeInteger(completionTokens)) return undefined
    return { promptTokens: Math.max(0, promptTokens), completionTokens: Math.max(0, completionTokens) }
  } catch {
    return undefined
  }
}

function parseDataLines (tail: Buffer): readonly string[] {
  return tail.toString('utf8').split('\n').filter(line => line.startsWith('data:')).map(line => line.slice(5).trim())
}

/** Returns `usage` of the last event with data other than `[DONE]`, or `undefined`. */
export function parseUsageFromEvents (tail: Buffer): Usage | undefined {
  const last = parseDataLines(tail).filter(line => line !== '[DONE]').at(-1)
  return last === undefined ? undefined : parseUsage(last)
}

/** Returns `usage` of a JSON response, or `undefined`. */
export function parseUsageFromJson (body: Buffer): Usage | undefined {
  return parseUsage(body.toString('utf8'))
}

/** Whether the stream ended with the event `[DONE]`, which is not counted as a token. */
export function hasDoneEvent (tail: Buffer): boolean {
  return parseDataLines(tail).at(-1) === '[DONE]'
}

/** Bytes of text that count as one token when the engine reports no usage. */
const bytesPerToken = 4

/** Estimates the number of tokens from the length of a body. */
export function estimateTokens (bodyBytes: number): number {
  return Math.ceil(bodyBytes / bytesPerToken)
}
