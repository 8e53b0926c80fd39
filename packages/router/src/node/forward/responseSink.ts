/** Destination of a response: the connection of the caller. */

export interface ResponseSink {
  /** True when the caller closed the connection before the response ended. */
  readonly isDisconnected: boolean
  /** Calls `listener` when the caller closes the connection early. The returned function removes the listener. */
  onDisconnect (listener: () => void): () => void
  /** Calls `listener` when the connection takes data again after `write` returned false, or when the caller has closed it. */
  onDrain (listener: () => void): void
  /** Sends the status and the headers. */
  writeHead (status: number, headers: Record<string, string | string[]>): void
  /** Returns false to pause the body until the `onDrain` listener is called. */
  write (chunk: Buffer): boolean
  end (): void
}
