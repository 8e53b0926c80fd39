/** Reads the body of a caller's request within a byte limit. */
import type { IncomingMessage } from 'node:http'
import { Ok, type Result } from 'ts-results-es'
import { fail, notRun, type Failure } from '@buckthorndrift/policy'

function bodyTooLarge (maxBytes: number): Result<never, Failure> {
  return fail(notRun, 'requestTooLarge', `the request body is larger than ${maxBytes} bytes`)
}

const bodyIncomplete: Result<never, Failure> = fail(notRun, 'badRequest', 'the request body ended early')
const emptyBody = Buffer.alloc(0)

/** Reads the whole body; fails with `requestTooLarge`, or with `badRequest` if the connection ends early. */
export async function readBody (request: IncomingMessage, maxBytes: number): Promise<Result<Buffer, Failure>> {
  const { 'content-length': length, 'transfer-encoding': encoding } = request.headers
  if (Number(length ?? 0) > maxBytes) return bodyTooLarge(maxBytes)
  if (encoding === undefined && Number(length ?? 0) === 0) return Ok(emptyBody)
  return new Promise(resolve => {
    const chunks: Buffer[] = []
    let sizeBytes = 0
    request.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length
      // The rest is read and discarded, so that the caller gets the refusal and the connection stays usable.
      if (sizeBytes > maxBytes) resolve(bodyTooLarge(maxBytes))
      else chunks.push(chunk)
    })
    request.once('end', () => { resolve(Ok(Buffer.concat(chunks, sizeBytes))) })
    request.once('close', () => { resolve(bodyIncomplete) })
    request.once('error', () => { resolve(bodyIncomplete) })
  })
}
