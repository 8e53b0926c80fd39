import { spawnSync } from 'node:child_process'
import { existsSync, statSync } from 'node:fs'

// npm rewrites this marker on every install, so an older marker than the lock file means stale packages.
const marker = 'node_modules/.package-lock.json'
const isInstalled = existsSync(marker) && statSync(marker).mtimeMs >= statSync('package-lock.json').mtimeMs

if (!isInstalled) {
  const { status } = spawnSync('npm', ['ci', '--no-audit', '--no-fund', '--prefer-offline'], { stdio: 'inherit' })
  process.exit(status ?? 1)
}
