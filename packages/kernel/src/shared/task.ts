/**
 * A task is an actor: it owns its state and sockets, and other code reaches it
 * only by messages. It handles them one at a time, in order of arrival.
 */

export interface Task<Message> {
  readonly name: string
  /** Queues a message. Messages posted after `stop` are dropped. */
  post (message: Message): void
  /** Resolves when all messages posted so far have been handled. */
  idle (): Promise<void>
  /** Accepts no more messages and resolves when all queued ones have been handled. */
  stop (): Promise<void>
}

export interface TaskOptions<Message> {
  readonly name: string
  handle (message: Message): void | Promise<void>
  /** Called when `handle` throws. The task then continues with the next message. */
  onError (error: unknown): void
}

export function startTask<Message> (options: TaskOptions<Message>): Task<Message> {
  let isStopped = false
  let lastHandled: Promise<void> = Promise.resolve()

  async function handleMessage (message: Message): Promise<void> {
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
      lastHandled = lastHandled.then(() => handleMessage(message))
    },
    idle: () => lastHandled,
    stop () {
      isStopped = true
      return lastHandled
    }
  }
}

/** Carried in a message that expects a reply; settles the promise returned by `ask`. */
export interface Reply<Value> {
  resolve (value: Value): void
  reject (error: unknown): void
}

/** Posts a message with a `Reply` and waits for the reply. Never settles when the task is already stopped. */
export function ask<Message, Value> (task: Task<Message>, createMessage: (reply: Reply<Value>) => Message): Promise<Value> {
  return new Promise<Value>((resolve, reject) => {
    task.post(createMessage({ resolve, reject }))
  })
}
