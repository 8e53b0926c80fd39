import { readFileSync } from 'node:fs'
import { describe, expect, it } from 'vitest'
import { createOpenApi } from '../../index.ts'

describe('OpenAPI description', () => {
  it('matches the committed docs/openapi.json (update it with npx tsc -b && node scripts/writeDocs.mjs)', () => {
    const committed = readFileSync(new URL('../../../../../docs/openapi.json', import.meta.url), 'utf8')
    expect(JSON.parse(committed)).toEqual(JSON.parse(JSON.stringify(createOpenApi())))
  })

  it('gives every operation a unique id and a problem response for failures', () => {
    const { paths } = createOpenApi() as { paths: Record<string, Record<string, { operationId: string, responses: Record<string, unknown> }>> }
    const calls = Object.values(paths).flatMap(methods => Object.values(methods))
    expect(new Set(calls.map(call => call.operationId)).size).toBe(calls.length)
    for (const call of calls) expect(call.responses['503']).toBeDefined()
  })
})
