/** Parses the body of a chat completion and computes an upper bound of its cost. */
import { Ok, type Result } from 'ts-results-es'
import { z } from 'zod'
import { fail, notRun, type Failure } from '@buckthorndrift/policy'

/** Maximum number of choices of one request; each may use the whole output limit. */
const maxChoices = 8
/** Length of the beginning of the messages, as JSON, that is compared to recognise requests with the same prompt prefix. */
const maxPrefixCharacters = 1024

const textPart = z.looseObject({ type: z.literal('text'), text: z.string() })
const message = z.looseObject({
  role: z.string(),
  content: z.union([z.string(), z.array(textPart), z.null()]).optional()
})
const tokenLimit = z.number().int().positive().nullish()

/** Content other than text is refused, because the size of the request does not limit its tokens. */
const chatSchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(message).min(1),
  stream: z.boolean().nullish(),
  n: z.number().int().min(1).max(maxChoices).nullish(),
  max_tokens: tokenLimit,
  max_completion_tokens: tokenLimit
})
export type ChatRequest = z.infer<typeof chatSchema>

/** Parses a chat completion; fails with `badRequest`, which names the invalid field. */
export function parseChat (body: Buffer): Result<ChatRequest, Failure> {
  let value: unknown
  try {
    value = JSON.parse(body.toString('utf8'))
  } catch {
    return fail(notRun, 'badRequest', 'the request body is not valid JSON')
  }
  const parsed = chatSchema.safeParse(value)
  if (parsed.success) return Ok(parsed.data)
  const issue = parsed.error.issues[0]
  return fail(notRun, 'badRequest', `the request body is invalid at "${issue?.path.join('.') ?? ''}": ${issue?.message ?? ''}`)
}

type Priority = 'interactive' | 'batch'

/** Priorities for the engine, which runs requests with a lower number first. */
const enginePriorities: Readonly<Record<Priority, number>> = { interactive: 0, batch: 1 }

export interface LimitedChat {
  /** The body with the output limit as `max_tokens`, and the priority for the engine's queue. */
  readonly body: Buffer
  /** The body without the priority, which does not change what the request asks for. */
  readonly content: Buffer
  /** Upper bound of the cost of the request, in tokens. */
  readonly maxTokens: number
  /** Beginning of the messages as JSON. */
  readonly prefix: string
}

/**
 * Applies the output limit and computes an upper bound of the cost. A token of a
 * byte-level vocabulary has at least one byte. The bytes of the body include the
 * field names around each message, so they are an upper bound of the tokens of
 * the prompt and its template.
 */
export function limitChat (chat: ChatRequest, maxOutputTokens: number, priority: Priority): LimitedChat {
  const { max_completion_tokens: completionLimit, priority: _callerPriority, ...rest } = chat
  const outputTokens = Math.min(maxOutputTokens, chat.max_tokens ?? completionLimit ?? maxOutputTokens)
  const limited = { ...rest, max_tokens: outputTokens }
  const body = Buffer.from(JSON.stringify({ ...limited, priority: enginePriorities[priority] }))
  return {
    body,
    content: Buffer.from(JSON.stringify(limited)),
    maxTokens: body.length + outputTokens * (chat.n ?? 1),
    prefix: JSON.stringify(chat.messages).slice(0, maxPrefixCharacters)
  }
}
