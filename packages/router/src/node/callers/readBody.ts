/** Reads the body of a caller's request within a byte limit. */
import type { IncomingMessage } from 'node:http'
import { Ok, type Result } from 'ts-results-es'
import { fail, notRun, type Failure } from '@buckthorndrift/policy'

function tooLarge (maxBytes: number): Result<never, Failure> {
  return fail(notRun, 'requestTooLarge', `the request body is larger than ${maxBytes} bytes`)
}

const broken: Result<never, Failure> = fail(notRun, 'badRequest', 'the request body ended early')
const empty = Buffer.alloc(0)

/** The whole body; fails with `requestTooLarge`, or `badRequest` when the caller breaks off. */
export async function readBody (request: IncomingMessage, maxBytes: number): Promise<Result<Buffer, Failure>> {
  const { 'content-length': length, 'transfer-encoding': encoding } = request.headers
  if (Number(length ?? 0) > maxBytes) return tooLarge(maxBytes)
  if (encoding === undefined && Number(length ?? 0) === 0) return Ok(empty)
  return new Promise(resolve => {
    const chunks: Buffer[] = []
    let sizeBytes = 0
    request.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length
      // The rest is read and dropped, so that the caller gets the refusal on a connection that still works.
      if (sizeBytes > maxBytes) resolve(tooLarge(maxBytes))
      else chunks.push(chunk)
    })
    request.once('end', () => { resolve(Ok(Buffer.concat(chunks, sizeBytes))) })
    request.once('close', () => { resolve(broken) })
    request.once('error', () => { resolve(broken) })
  })
}
