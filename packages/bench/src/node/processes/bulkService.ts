/**
 * A back end with bodies that never end. The stand-in engine cannot fill the
 * socket buffers of some hundred slow readers in reasonable time.
 */
import { createServer, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

const chunk = Buffer.alloc(64 * 1024, 'x')

function fill (response: ServerResponse): void {
  while (!response.destroyed && response.write(chunk));
  response.once('drain', () => { fill(response) })
}

/** Starts the service on loopback. */
export async function startBulkService (): Promise<{ readonly url: string }> {
  const server = createServer((_, response) => {
    response.writeHead(200, { 'content-type': 'application/octet-stream' })
    fill(response)
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return { url: `http://127.0.0.1:${(server.address() as AddressInfo).port}` }
}
