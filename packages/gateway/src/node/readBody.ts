/** Reads the body of a request into memory, up to a size limit and as far as the memory budget allows. */
import type { IncomingMessage } from 'node:http'
import type { MemoryHolder } from '@buckthorndrift/policy'

export type BodyResult =
  | { readonly kind: 'read', readonly body: Buffer | undefined }
  | { readonly kind: 'tooLarge' }
  | { readonly kind: 'noMemory' }
  | { readonly kind: 'aborted' }

export interface ReadBodyOptions {
  readonly maxBytes: number
  /** Takes the memory of the body, as far as it has arrived. */
  readonly holder: MemoryHolder
  readonly nowMs: () => number
}

/** Pieces that are smaller are copied into blocks, because a buffer of its own costs more memory than a small piece. */
const minPieceBytes = 4096
const blockBytes = 16 * 1024

/** Bytes of a body in the order of their arrival. */
class BodyBuffer {
  readonly #pieces: Buffer[] = []
  #block: Buffer | undefined
  #blockUsedBytes = 0
  #length = 0

  get length (): number {
    return this.#length
  }

  /** Memory that is needed beyond what is held to take a piece of this size. */
  neededBytes (pieceBytes: number): number {
    if (this.#isOwnPiece(pieceBytes)) return pieceBytes
    return pieceBytes <= this.#freeBytes ? 0 : blockBytes
  }

  add (piece: Buffer): void {
    if (this.#isOwnPiece(piece.length)) {
      this.#endBlock()
      this.#pieces.push(piece)
    } else {
      this.#copy(piece)
    }
    this.#length += piece.length
  }

  /** The whole body. The buffer is empty afterwards. */
  take (): Buffer {
    this.#endBlock()
    const pieces = this.#pieces.splice(0)
    return pieces.length === 1 ? pieces[0]! : Buffer.concat(pieces, this.#length)
  }

  clear (): void {
    this.#pieces.length = 0
    this.#block = undefined
  }

  get #freeBytes (): number {
    return this.#block === undefined ? 0 : blockBytes - this.#blockUsedBytes
  }

  /** The first piece is kept as it is, since most bodies arrive in one. */
  #isOwnPiece (bytes: number): boolean {
    return this.#length === 0 || bytes >= minPieceBytes
  }

  #copy (piece: Buffer): void {
    if (piece.length > this.#freeBytes) {
      this.#endBlock()
      this.#block = Buffer.allocUnsafeSlow(blockBytes)
    }
    this.#blockUsedBytes += piece.copy(this.#block!, this.#blockUsedBytes)
  }

  #endBlock (): void {
    if (this.#block !== undefined) this.#pieces.push(this.#block.subarray(0, this.#blockUsedBytes))
    this.#block = undefined
    this.#blockUsedBytes = 0
  }
}

export function hasBody ({ headers }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}

export function readBody (request: IncomingMessage, { maxBytes, holder, nowMs }: ReadBodyOptions): Promise<BodyResult> {
  const declared = request.headers['content-length']
  if (declared !== undefined && Number(declared) > maxBytes) return Promise.resolve({ kind: 'tooLarge' })
  if (!hasBody(request)) return Promise.resolve({ kind: 'read', body: undefined })
  return new Promise(resolve => {
    const buffer = new BodyBuffer()
    const stop = (result: BodyResult): void => {
      request.pause()
      request.off('data', onData)
      buffer.clear()
      resolve(result)
    }
    const onData = (piece: Buffer): void => {
      if (buffer.length + piece.length > maxBytes) stop({ kind: 'tooLarge' })
      else if (holder.tryHold(buffer.neededBytes(piece.length), nowMs())) buffer.add(piece)
      else stop({ kind: 'noMemory' })
    }
    holder.whenEvicted(() => { stop({ kind: 'noMemory' }) })
    request.on('data', onData)
    request.on('end', () => {
      // The request may run from now on.
      holder.protect()
      resolve({ kind: 'read', body: buffer.take() })
    })
    request.on('close', () => {
      buffer.clear()
      resolve({ kind: 'aborted' })
    })
    request.on('error', () => { resolve({ kind: 'aborted' }) })
  })
}
