import { defineConfig } from 'vitest/config'

const conditions = ['source', 'node', 'import', 'default']

export default defineConfig({
  resolve: { conditions },
  ssr: { resolve: { conditions, externalConditions: ['node', 'import', 'default'] } },
  test: {
    include: ['packages/*/src/**/__tests__/**/*.test.ts', 'platform/src/**/__tests__/**/*.test.ts', 'playground/src/**/__tests__/**/*.test.ts'],
    pool: 'forks',
    reporters: ['default', './scripts/countReporter.mjs'],
    globalSetup: ['./scripts/bundlePrograms.mjs'],
    setupFiles: ['./vitest.setup.ts'],
    testTimeout: 60_000,
    hookTimeout: 60_000
  }
})
