/**
 * Tasks: units of concurrency that own their state and sockets. Others reach a
 * task only by messages, which it handles one at a time in order of arrival.
 */

export interface Task<Message> {
  readonly name: string
  /** Queues a message; messages after `stop` are dropped. */
  post (message: Message): void
  /** Resolves when all messages posted so far have been handled. */
  idle (): Promise<void>
  /** Handles what is queued, then takes no more messages. */
  stop (): Promise<void>
}

export interface TaskOptions<Message> {
  readonly name: string
  handle (message: Message): void | Promise<void>
  /** Called when `handle` throws; the task goes on with the next message. */
  onError (error: unknown): void
}

/** Starts a task. */
export function startTask<Message> (options: TaskOptions<Message>): Task<Message> {
  let isStopped = false
  let last: Promise<void> = Promise.resolve()

  async function run (message: Message): Promise<void> {
    try {
      await options.handle(message)
    } catch (error) {
      options.onError(error)
    }
  }

  return {
    name: options.name,
    post (message) {
      if (isStopped) return
      last = last.then(() => run(message))
    },
    idle: () => last,
    stop () {
      isStopped = true
      return last
    }
  }
}

/** A reply slot carried in a message, for messages that expect an answer. */
export interface Reply<Value> {
  resolve (value: Value): void
  reject (error: unknown): void
}

/** Posts a message built around a reply slot and waits for the answer. */
export function ask<Message, Value> (task: Task<Message>, build: (reply: Reply<Value>) => Message): Promise<Value> {
  return new Promise<Value>((resolve, reject) => {
    task.post(build({ resolve, reject }))
  })
}
