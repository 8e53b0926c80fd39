/** Reads the body of a chat completion and bounds what it can cost. */
import { Ok, type Result } from 'ts-results-es'
import { z } from 'zod'
import { fail, notRun, type Failure } from '@buckthorndrift/policy'

/** Most choices of one request; each may use the whole output limit. */
const maxChoices = 8
/** Bytes of the messages that requests with the same prompt prefix share. */
const prefixBytes = 1024

const textPart = z.looseObject({ type: z.literal('text'), text: z.string() })
const message = z.looseObject({
  role: z.string(),
  content: z.union([z.string(), z.array(textPart), z.null()]).optional()
})
const limit = z.number().int().positive().nullish()

/** Content other than text is refused, because its tokens cannot be bounded from the bytes of the request. */
const chatSchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(message).min(1),
  stream: z.boolean().nullish(),
  n: z.number().int().min(1).max(maxChoices).nullish(),
  max_tokens: limit,
  max_completion_tokens: limit
})
export type ChatRequest = z.infer<typeof chatSchema>

/** Parses a chat completion; fails with `badRequest`, naming the field. */
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

/** Engines run requests with a lower number first. */
const enginePriorities: Readonly<Record<Priority, number>> = { interactive: 0, batch: 1 }

export interface BoundedChat {
  /** The body with the output limit as `max_tokens`, and the priority for the engine's queue. */
  readonly body: Buffer
  /** The body without the priority, which is not part of what the request asks for. */
  readonly content: Buffer
  readonly maxTokens: number
  readonly prefix: string
}

/**
 * Sets the output limit and bounds the cost. A token of a byte-level vocabulary
 * is at least one byte, so the bytes of the body, which include the field names
 * around each message, are an upper bound of the prompt with its template.
 */
export function boundChat (chat: ChatRequest, maxOutputTokens: number, priority: Priority): BoundedChat {
  const { max_completion_tokens: completionLimit, priority: _callerPriority, ...rest } = chat
  const outputTokens = Math.min(maxOutputTokens, chat.max_tokens ?? completionLimit ?? maxOutputTokens)
  const bounded = { ...rest, max_tokens: outputTokens }
  const body = Buffer.from(JSON.stringify({ ...bounded, priority: enginePriorities[priority] }))
  return {
    body,
    content: Buffer.from(JSON.stringify(bounded)),
    maxTokens: body.length + outputTokens * (chat.n ?? 1),
    prefix: JSON.stringify(chat.messages).slice(0, prefixBytes)
  }
}
