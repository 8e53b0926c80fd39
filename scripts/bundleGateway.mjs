// Bundles the gateway into one file, because a restarted process spends most of its first second on loading hundreds of modules.
import { renameSync } from 'node:fs'
import { build } from 'esbuild'

// The parts of undici that the gateway uses. The index of undici also loads fetch, WebSocket and caches.
const undiciParts = `
  import Agent from 'undici/lib/dispatcher/agent.js'
  import Client from 'undici/lib/dispatcher/client.js'
  import Dispatcher from 'undici/lib/dispatcher/dispatcher.js'
  import request from 'undici/lib/api/api-request.js'
  Dispatcher.prototype.request = request
  export { Agent, Client }
`

const useUndiciParts = {
  name: 'use-undici-parts',
  setup (context) {
    context.onResolve({ filter: /^undici$/ }, () => ({ path: 'parts', namespace: 'undici-parts' }))
    context.onLoad({ filter: /.*/, namespace: 'undici-parts' }, () => ({ contents: undiciParts, resolveDir: process.cwd() }))
  }
}

const bundlePath = 'target/buckthorndrift.mjs'
// The bundle is replaced as a whole, because tests that run at the same time bundle it and start it.
const unfinishedPath = `${bundlePath}.${process.pid}`

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: unfinishedPath,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  conditions: ['source'],
  // It loads a binary file from its own folder.
  external: ['koffi'],
  minify: true,
  keepNames: true,
  legalComments: 'none',
  plugins: [useUndiciParts],
  banner: { js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);" }
})
renameSync(unfinishedPath, bundlePath)
