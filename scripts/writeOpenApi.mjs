// Writes docs/openapi.json from the administration API's schemas; run after the build.
import { writeFileSync } from 'node:fs'
import { createOpenApi } from '@buckthorndrift/admin'

writeFileSync(new URL('../docs/openapi.json', import.meta.url), `${JSON.stringify(createOpenApi(), null, 2)}\n`)
