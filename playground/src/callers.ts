/** HTTP requests as callers send them to a router. */
import { request, type Dispatcher } from 'undici'

export interface CallResponse {
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

/** Sends a request and reads the whole response. Rejects when the connection breaks. */
export async function send (method: 'GET' | 'POST', url: string, body: unknown, options: CallOptions): Promise<CallResponse> {
  const { statusCode, headers, body: responseBody } = await request(url, {
    method,
    headers: headersOf(options),
    ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    ...(options.signal === undefined ? {} : { signal: options.signal }),
    ...(options.dispatcher === undefined ? {} : { dispatcher: options.dispatcher })
  })
  return { status: statusCode, headers, text: await responseBody.text() }
}

export interface ChatOptions extends CallOptions {
  readonly model: string
  readonly prompt: string
  readonly maxTokens: number
  readonly isStreamed?: boolean
}

/** Requests a chat completion. */
export function chat (routerUrl: string, options: ChatOptions): Promise<CallResponse> {
  return send('POST', `${routerUrl}/v1/chat/completions`, {
    model: options.model,
    messages: [{ role: 'user', content: options.prompt }],
    max_tokens: options.maxTokens,
    stream: options.isStreamed ?? false
  }, options)
}

/** Concatenated content of a streamed chat completion. */
export function streamedText (response: CallResponse): string {
  return response.text.split('\n')
    .filter(line => line.startsWith('data: {'))
    .map(line => (JSON.parse(line.slice('data: '.length)) as { choices?: ReadonlyArray<{ delta?: { content?: string } }> }).choices?.[0]?.delta?.content ?? '')
    .join('')
}
