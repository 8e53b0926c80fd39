/** Child processes of the demo fleet and of tests on real processes. */
import { spawn, type ChildProcess } from 'node:child_process'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'

/** Time for a process to print the line that it is awaited for. */
const startLimitMs = 20_000

/** Built binaries, relative to this package. */
export const binaries = {
  cli: '../../packages/cli/dist/node/bin.js',
  endpoint: '../../packages/endpoint/dist/node/bin.js',
  standins: '../../packages/standins/dist/node/bin.js'
} as const

export interface Child {
  readonly name: string
  readonly process: ChildProcess
  /** Resolves with what follows `prefix` on the first line that starts with it; rejects when the process ends before. */
  line (prefix: string): Promise<string>
  /** Resolves with the exit code, or the signal's name. */
  readonly exited: Promise<number | string>
  /** Last lines of standard error, for reports of failures. */
  errorLines (): readonly string[]
}

const keptErrorLines = 50

const running = new Set<ChildProcess>()

// A test that timed out never reaches its clean-up.
process.once('exit', () => {
  for (const child of running) child.kill('SIGKILL')
})

/** Starts a built binary under Node.js. */
export function startChild (name: string, binary: keyof typeof binaries, args: readonly string[]): Child {
  const path = fileURLToPath(new URL(binaries[binary], import.meta.url))
  const child = spawn(process.execPath, [path, ...args], { stdio: ['ignore', 'pipe', 'pipe'] })
  running.add(child)
  const lines: string[] = []
  const errors: string[] = []
  const listeners = new Set<(line: string) => void>()
  createInterface({ input: child.stdout }).on('line', line => {
    lines.push(line)
    for (const listener of listeners) listener(line)
  })
  createInterface({ input: child.stderr }).on('line', line => {
    errors.push(line)
    if (errors.length > keptErrorLines) errors.shift()
  })
  const exited = new Promise<number | string>(resolve => {
    child.once('exit', (code, signal) => {
      running.delete(child)
      resolve(code ?? signal ?? 'unknown')
    })
  })

  function line (prefix: string): Promise<string> {
    const known = lines.find(one => one.startsWith(prefix))
    if (known !== undefined) return Promise.resolve(known.slice(prefix.length).trim())
    return new Promise((resolve, reject) => {
      const timeout = setTimeout(() => { reject(new Error(`${name} did not print "${prefix}" in time: ${errors.join('\n')}`)) }, startLimitMs)
      const listener = (one: string): void => {
        if (!one.startsWith(prefix)) return
        clearTimeout(timeout)
        listeners.delete(listener)
        resolve(one.slice(prefix.length).trim())
      }
      listeners.add(listener)
      void exited.then(code => {
        clearTimeout(timeout)
        reject(new Error(`${name} ended with ${code}: ${errors.join('\n')}`))
      })
    })
  }

  return { name, process: child, line, exited, errorLines: () => errors }
}

/** Asks children to stop, and ends those that do not within `limitMs`. */
export async function stopChildren (children: readonly Child[], limitMs: number): Promise<void> {
  for (const child of children) child.process.kill('SIGTERM')
  const timeout = setTimeout(() => {
    for (const child of children) child.process.kill('SIGKILL')
  }, limitMs)
  await Promise.all(children.map(child => child.exited))
  clearTimeout(timeout)
}
