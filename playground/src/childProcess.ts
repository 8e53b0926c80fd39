/** Child processes of the playground fleet. */
import { spawn, type ChildProcess } from 'node:child_process'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'

/** Longest wait for a line that a process is expected to print. */
const lineTimeoutMs = 20_000

/** Paths of the built programs, relative to the folder of this module. */
export const binaryPaths = {
  cli: '../../packages/cli/dist/bundle/bin.mjs',
  endpoint: '../../packages/endpoint/dist/bundle/bin.mjs',
  standins: '../../packages/standins/dist/bundle/bin.mjs'
} as const

export interface Child {
  readonly name: string
  readonly process: ChildProcess
  /** Resolves with the rest of the first line on standard output that starts with `prefix`. Rejects when the process exits before it prints the line, or after a timeout. */
  waitForLine (prefix: string): Promise<string>
  /** Resolves with the exit code, or with the name of the signal that ended the process. */
  readonly exited: Promise<number | string>
  /** Last lines of standard error, for failure messages. */
  errorLines (): readonly string[]
}

const maxErrorLines = 50

const runningProcesses = new Set<ChildProcess>()

// A test that times out does not run its clean-up, so the remaining child processes are killed here.
process.once('exit', () => {
  for (const child of runningProcesses) child.kill('SIGKILL')
})

/** Starts a built program under Node.js. */
export function startChild (name: string, binary: keyof typeof binaryPaths, args: readonly string[]): Child {
  const path = fileURLToPath(new URL(binaryPaths[binary], import.meta.url))
  const child = spawn(process.execPath, [path, ...args], { stdio: ['ignore', 'pipe', 'pipe'] })
  runningProcesses.add(child)
  const lines: string[] = []
  const errors: string[] = []
  const listeners = new Set<(line: string) => void>()
  createInterface({ input: child.stdout }).on('line', line => {
    lines.push(line)
    for (const listener of listeners) listener(line)
  })
  createInterface({ input: child.stderr }).on('line', line => {
    errors.push(line)
    if (errors.length > maxErrorLines) errors.shift()
  })
  const exited = new Promise<number | string>(resolve => {
    child.once('exit', (code, signal) => {
      runningProcesses.delete(child)
      resolve(code ?? signal ?? 'unknown')
    })
  })

  function waitForLine (prefix: string): Promise<string> {
    const printedLine = lines.find(candidate => candidate.startsWith(prefix))
    if (printedLine !== undefined) return Promise.resolve(printedLine.slice(prefix.length).trim())
    return new Promise((resolve, reject) => {
      const timeout = setTimeout(() => { reject(new Error(`${name} did not print "${prefix}" before the timeout; standard error: ${errors.join('\n')}`)) }, lineTimeoutMs)
      const listener = (candidate: string): void => {
        if (!candidate.startsWith(prefix)) return
        clearTimeout(timeout)
        listeners.delete(listener)
        resolve(candidate.slice(prefix.length).trim())
      }
      listeners.add(listener)
      void exited.then(code => {
        clearTimeout(timeout)
        reject(new Error(`${name} exited with ${code}; standard error: ${errors.join('\n')}`))
      })
    })
  }

  return { name, process: child, waitForLine, exited, errorLines: () => errors }
}

/** Sends SIGTERM to the children, and SIGKILL to all that have not exited after `timeoutMs`. */
export async function stopChildren (children: readonly Child[], timeoutMs: number): Promise<void> {
  for (const child of children) child.process.kill('SIGTERM')
  const timeout = setTimeout(() => {
    for (const child of children) child.process.kill('SIGKILL')
  }, timeoutMs)
  await Promise.all(children.map(child => child.exited))
  clearTimeout(timeout)
}
