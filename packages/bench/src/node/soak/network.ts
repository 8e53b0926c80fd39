/** Messages of the budget model: they wait until a step delivers, delays, repeats or drops them. */

export interface Message {
  readonly from: string
  readonly to: string
  readonly kind: string
  readonly isRepeatable: boolean
  deliver (): void
  /** The sender stops waiting; the message may still arrive. */
  giveUp (): void
}

export interface CallOptions<Answer> {
  readonly from: string
  readonly to: string
  readonly kind: string
  /** Whether the network may deliver the request twice. */
  readonly isRepeatable?: boolean
  /** Runs at the receiver; `respond` sends the answer, at once or later. */
  handle (respond: (answer: Answer) => void): void
  /** Runs at the sender, once; `undefined` when it stopped waiting. */
  done (answer: Answer | undefined): void
}

export class Network {
  readonly messages: Message[] = []
  readonly #blocked = new Set<string>()
  readonly #silent = new Set<string>()

  call<Answer> (options: CallOptions<Answer>): void {
    let isOpen = true
    const finish = (answer: Answer | undefined) => {
      if (!isOpen) return
      isOpen = false
      options.done(answer)
    }
    const giveUp = () => { finish(undefined) }
    this.messages.push({
      ...options,
      isRepeatable: options.isRepeatable ?? false,
      giveUp,
      deliver: () => {
        options.handle(answer => {
          this.messages.push({
            from: options.to, to: options.from, kind: `${options.kind}Reply`, isRepeatable: false, giveUp, deliver: () => { finish(answer) }
          })
        })
      }
    })
  }

  /** Cuts or restores both directions between two processes. */
  setBlocked (a: string, b: string, isBlocked: boolean): void {
    const key = [a, b].sort().join('|')
    if (isBlocked) this.#blocked.add(key)
    else this.#blocked.delete(key)
  }

  /** A silent process takes no messages: it is paused or does not exist. */
  setSilent (id: string, isSilent: boolean): void {
    if (isSilent) this.#silent.add(id)
    else this.#silent.delete(id)
  }

  isSilent (id: string): boolean {
    return this.#silent.has(id)
  }

  heal (): void {
    this.#blocked.clear()
  }

  get deliverable (): readonly Message[] {
    return this.messages.filter(message => !this.#silent.has(message.to) && !this.#blocked.has([message.from, message.to].sort().join('|')))
  }

  deliver (message: Message, isRepeated = false): void {
    if (!isRepeated) this.messages.splice(this.messages.indexOf(message), 1)
    message.deliver()
  }

  /** Loses a message; its sender stops waiting at the same time. */
  drop (message: Message): void {
    this.messages.splice(this.messages.indexOf(message), 1)
    message.giveUp()
  }

  /** A process is lost for good: what it was to receive is lost, and its senders stop waiting. */
  lose (id: string): void {
    for (const message of this.messages.filter(candidate => candidate.to === id)) this.drop(message)
  }
}
