/** Starts the processes of a bench and measures them. */
import { fork, type ChildProcess } from 'node:child_process'
import type { Member } from '@buckthorndrift/protocol'
import type { Order, Role, Started, Usage } from './messages.ts'

export interface BenchProcess {
  readonly url: string
  readonly member: Member | undefined
  usage (): Promise<Usage>
  stop (): Promise<void>
}

const entry = new URL('./processEntry.js', import.meta.url)
const startTimeoutMs = 20_000

function nextMessage<Message extends { readonly kind: string }> (child: ChildProcess, kind: Message['kind']): Promise<Message> {
  return new Promise((resolve, reject) => {
    const timeout = setTimeout(() => { reject(new Error(`no message "${kind}" from a bench process`)) }, startTimeoutMs)
    const onExit = (code: number | null): void => { reject(new Error(`a bench process ended with code ${code}`)) }
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

function send (child: ChildProcess, order: Order): void {
  child.send(order)
}

/** Starts a process; it ends with the bench at the latest, because its message channel closes then. */
export async function startProcess (role: Role): Promise<BenchProcess> {
  const child = fork(entry, [JSON.stringify(role)], { execArgv: ['--expose-gc'], stdio: ['ignore', 'inherit', 'inherit', 'ipc'] })
  const started = await nextMessage<Started>(child, 'started')
  return {
    url: started.url,
    member: started.member,
    usage () {
      const usage = nextMessage<Usage>(child, 'usage')
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
