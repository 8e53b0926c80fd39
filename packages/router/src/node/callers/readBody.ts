/** Reads the body of a caller's request within a byte limit. */
import type { IncomingMessage } from 'node:http'
import { Ok, type Result } from 'ts-results-es'
import { fail, notRun, type Failure } from '@buckthorndrift/policy'

function tooLarge (maxBytes: number): Result<never, Failure> {
  return fail(notRun, 'requestTooLarge', `the request body is larger than ${maxBytes} bytes`)
}

/** The whole body; fails with `requestTooLarge`, or `badRequest` when the caller breaks off. */
export async function readBody (request: IncomingMessage, maxBytes: number): Promise<Result<Buffer, Failure>> {
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) return tooLarge(maxBytes)
  const chunks: Buffer[] = []
  let sizeBytes = 0
  try {
    // Leaving the loop early must not destroy the socket, on which the refusal is still to be sent.
    for await (const chunk of request.iterator({ destroyOnReturn: false })) {
      sizeBytes += (chunk as Buffer).length
      if (sizeBytes > maxBytes) return tooLarge(maxBytes)
      chunks.push(chunk as Buffer)
    }
  } catch {
    return fail(notRun, 'badRequest', 'the request body ended early')
  }
  return Ok(Buffer.concat(chunks, sizeBytes))
}
