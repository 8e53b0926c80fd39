// Bundles the gateway into one file: loading hundreds of modules costs a restarted process most of its first second.
import { build } from 'esbuild'

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/buckthorndrift.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  conditions: ['source'],
  minify: true,
  keepNames: true,
  legalComments: 'none',
  banner: { js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);" }
})
