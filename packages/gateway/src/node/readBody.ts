/** Reads the body of a request into memory, up to a size limit. */
import type { IncomingMessage } from 'node:http'

export type BodyResult =
  | { readonly kind: 'read', readonly body: Buffer | undefined }
  | { readonly kind: 'tooLarge' }
  | { readonly kind: 'aborted' }

export function readBody (request: IncomingMessage, maxBytes: number): Promise<BodyResult> {
  const declared = request.headers['content-length']
  if (declared !== undefined && Number(declared) > maxBytes) return Promise.resolve({ kind: 'tooLarge' })
  if (declared === undefined && request.headers['transfer-encoding'] === undefined) return Promise.resolve({ kind: 'read', body: undefined })
  return new Promise(resolve => {
    const chunks: Buffer[] = []
    let length = 0
    request.on('data', (chunk: Buffer) => {
      length += chunk.length
      if (length > maxBytes) {
        request.pause()
        resolve({ kind: 'tooLarge' })
        return
      }
      chunks.push(chunk)
    })
    request.on('end', () => { resolve({ kind: 'read', body: Buffer.concat(chunks, length) }) })
    request.on('close', () => { resolve({ kind: 'aborted' }) })
    request.on('error', () => { resolve({ kind: 'aborted' }) })
  })
}
