// Bundles each program of the product's own deployment into one file. Loading hundreds of modules takes most of the start of a process.
// Run as a program by `npm run demo`, and as the global set-up of the tests, which start these programs.
import { fileURLToPath } from 'node:url'
import { build } from 'esbuild'

const programs = ['cli', 'endpoint', 'standins']

export default async function bundlePrograms () {
  await Promise.all(programs.map(program => build({
    entryPoints: [`packages/${program}/src/node/bin.ts`],
    outfile: `packages/${program}/dist/bundle/bin.mjs`,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    conditions: ['source'],
    legalComments: 'none',
    logLevel: 'error',
    banner: { js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);" }
  })))
}

if (process.argv[1] === fileURLToPath(import.meta.url)) await bundlePrograms()
