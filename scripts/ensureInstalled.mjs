// Installs the packages if they are missing or older than the lock file.
import { spawnSync } from 'node:child_process'
import { existsSync, statSync } from 'node:fs'

// npm rewrites this file on every install, so the packages are stale if it is older than the lock file.
const marker = 'node_modules/.package-lock.json'
const isInstalled = existsSync(marker) && statSync(marker).mtimeMs >= statSync('package-lock.json').mtimeMs

if (!isInstalled) {
  const { status } = spawnSync('npm', ['ci', '--no-audit', '--no-fund', '--prefer-offline'], { stdio: 'inherit' })
  process.exit(status ?? 1)
}
