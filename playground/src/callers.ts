/** Requests as callers send them. */
import { request, type Dispatcher } from 'undici'

export interface Answer {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly text: string
}

export interface CallOptions {
  readonly key: string
  readonly idempotencyKey?: string
  readonly headers?: Readonly<Record<string, string>>
  readonly signal?: AbortSignal
  readonly dispatcher?: Dispatcher
}

function headersOf (options: CallOptions): Record<string, string> {
  return {
    authorization: `Bearer ${options.key}`,
    'content-type': 'application/json',
    ...(options.idempotencyKey === undefined ? {} : { 'idempotency-key': options.idempotencyKey }),
    ...options.headers
  }
}

/** Sends a request and reads the whole answer. Rejects when the connection breaks. */
export async function send (method: 'GET' | 'POST', url: string, body: unknown, options: CallOptions): Promise<Answer> {
  const { statusCode, headers, body: answer } = await request(url, {
    method,
    headers: headersOf(options),
    ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    ...(options.signal === undefined ? {} : { signal: options.signal }),
    ...(options.dispatcher === undefined ? {} : { dispatcher: options.dispatcher })
  })
  return { status: statusCode, headers, text: await answer.text() }
}

export interface ChatOptions extends CallOptions {
  readonly model: string
  readonly prompt: string
  readonly maxTokens: number
  readonly isStreamed?: boolean
}

/** A chat completion. */
export function chat (routerUrl: string, options: ChatOptions): Promise<Answer> {
  return send('POST', `${routerUrl}/v1/chat/completions`, {
    model: options.model,
    messages: [{ role: 'user', content: options.prompt }],
    max_tokens: options.maxTokens,
    stream: options.isStreamed ?? false
  }, options)
}

/** Pieces of text in a streamed chat completion. */
export function streamedText (answer: Answer): string {
  return answer.text.split('\n')
    .filter(line => line.startsWith('data: {'))
    .map(line => (JSON.parse(line.slice('data: '.length)) as { choices?: ReadonlyArray<{ delta?: { content?: string } }> }).choices?.[0]?.delta?.content ?? '')
    .join('')
}
