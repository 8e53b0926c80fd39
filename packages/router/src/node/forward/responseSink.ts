/** Where an answer goes: the caller's connection. */

export interface ResponseSink {
  /** True when the caller closed the connection. */
  readonly isDisconnected: boolean
  /** Calls `listener` when the caller goes; the returned function ends that. */
  onDisconnect (listener: () => void): () => void
  /** Calls `listener` when the caller has read on after `write` returned false, or has gone. */
  onDrain (listener: () => void): void
  writeHead (status: number, headers: Record<string, string | string[]>): void
  /** False asks for a pause. */
  write (chunk: Buffer): boolean
  end (): void
}
