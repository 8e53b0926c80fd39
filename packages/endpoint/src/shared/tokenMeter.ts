/** Counts the tokens of a model's answer by a scan of its bytes. */

const newline = 0x0a
const dataField = Buffer.from('data:')

/** Longest last event that is searched for `usage`, in bytes. */
export const usageTailBytes = 8192

/**
 * Counts server-sent events with data, one per token unless the answer's
 * `usage` says otherwise. Looks at the first bytes of each line only.
 */
export class TokenMeter {
  #events = 0
  /** Matched bytes of `data:` in the present line; -1 when the line is something else. */
  #matched = 0
  #isAtLineStart = true
  #lineHasBytes = false
  #eventHasData = false

  /** Events with data so far. */
  get events (): number { return this.#events }

  /** Whether a comment line may be inserted here without changing an event. */
  get isAtLineStart (): boolean { return this.#isAtLineStart }

  scan (bytes: Buffer): void {
    let position = 0
    while (position < bytes.length) {
      while (this.#matched >= 0 && position < bytes.length && bytes[position] !== newline) this.#match(bytes[position++]!)
      const end = bytes.indexOf(newline, position)
      if (end === -1) break
      this.#endLine()
      position = end + 1
    }
    if (bytes.length > 0) this.#isAtLineStart = bytes[bytes.length - 1] === newline
  }

  #match (byte: number): void {
    if (byte !== 0x0d) this.#lineHasBytes = true
    if (byte !== dataField[this.#matched]) {
      this.#matched = -1
    } else if (++this.#matched === dataField.length) {
      this.#matched = -1
      this.#eventHasData = true
    }
  }

  #endLine (): void {
    if (!this.#lineHasBytes && this.#eventHasData) {
      this.#events += 1
      this.#eventHasData = false
    }
    this.#matched = 0
    this.#lineHasBytes = false
  }
}

interface Usage {
  readonly promptTokens: number
  readonly completionTokens: number
}

function usageOf (text: string): Usage | undefined {
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

function dataLinesOf (tail: Buffer): readonly string[] {
  return tail.toString('utf8').split('\n').filter(line => line.startsWith('data:')).map(line => line.slice(5).trim())
}

/** `usage` of the last event with data other than `[DONE]`, or `undefined`. */
export function usageOfEvents (tail: Buffer): Usage | undefined {
  const last = dataLinesOf(tail).filter(line => line !== '[DONE]').at(-1)
  return last === undefined ? undefined : usageOf(last)
}

/** `usage` of a JSON answer, or `undefined`. */
export function usageOfJson (body: Buffer): Usage | undefined {
  return usageOf(body.toString('utf8'))
}

/** Whether the stream ended with the event `[DONE]`, which is no token. */
export function hasDoneEvent (tail: Buffer): boolean {
  return dataLinesOf(tail).at(-1) === '[DONE]'
}

/** Bytes of a prompt that count as one token when the engine reports no usage. */
const bytesPerToken = 4

/** Prompt tokens estimated from the length of the request body. */
export function promptTokensOf (bodyBytes: number): number {
  return Math.ceil(bodyBytes / bytesPerToken)
}
