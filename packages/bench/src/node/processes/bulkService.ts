/**
 * A back end whose response bodies never end. It is needed because the engine
 * stand-in cannot fill the socket buffers of a few hundred slow readers in
 * reasonable time.
 */
import { createServer, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

const chunk = Buffer.alloc(64 * 1024, 'x')

/** Writes until the socket buffer is full, and again after each drain. */
function writeUntilFull (response: ServerResponse): void {
  while (!response.destroyed && response.write(chunk));
  response.once('drain', () => { writeUntilFull(response) })
}

/** Starts the service on a free loopback port. */
export async function startBulkService (): Promise<{ readonly url: string }> {
  const server = createServer((_, response) => {
    response.writeHead(200, { 'content-type': 'application/octet-stream' })
    writeUntilFull(response)
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return { url: `http://127.0.0.1:${(server.address() as AddressInfo).port}` }
}
