/** Starts the processes of a bench and measures them. */
import { fork, type ChildProcess } from 'node:child_process'
import type { Member } from '@buckthorndrift/protocol'
import type { Command, Role, StartedMessage, UsageMessage } from './messages.ts'

export interface BenchProcess {
  readonly url: string
  readonly member: Member | undefined
  usage (): Promise<UsageMessage>
  stop (): Promise<void>
}

const entryModule = new URL('./processEntry.js', import.meta.url)
const messageTimeoutMs = 20_000

function waitForMessage<Message extends { readonly kind: string }> (child: ChildProcess, kind: Message['kind']): Promise<Message> {
  return new Promise((resolve, reject) => {
    const timeout = setTimeout(() => { reject(new Error(`timed out waiting for message "${kind}" from a bench process`)) }, messageTimeoutMs)
    const onExit = (code: number | null): void => { reject(new Error(`bench process exited with code ${code}`)) }
    const onMessage = (message: Message): void => {
      if (message.kind !== kind) return
      clearTimeout(timeout)
      child.off('message', onMessage)
      child.off('exit', onExit)
      resolve(message)
    }
    child.on('message', onMessage)
    child.once('exit', onExit)
  })
}

function send (child: ChildProcess, command: Command): void {
  child.send(command)
}

/** Starts a process. It exits when the bench exits, because that closes its IPC channel. */
export async function startProcess (role: Role): Promise<BenchProcess> {
  const child = fork(entryModule, [JSON.stringify(role)], { execArgv: ['--expose-gc'], stdio: ['ignore', 'inherit', 'inherit', 'ipc'] })
  const started = await waitForMessage<StartedMessage>(child, 'started')
  return {
    url: started.url,
    member: started.member,
    usage () {
      const usage = waitForMessage<UsageMessage>(child, 'usage')
      send(child, { kind: 'measure' })
      return usage
    },
    async stop () {
      if (child.exitCode !== null) return
      const ended = new Promise<void>(resolve => { child.once('exit', () => { resolve() }) })
      send(child, { kind: 'stop' })
      await ended
    }
  }
}
