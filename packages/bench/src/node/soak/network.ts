/** Network of the budget model: messages stay in flight until a step delivers, repeats or drops them. */

export interface Message {
  readonly from: string
  readonly to: string
  readonly kind: string
  readonly isRepeatable: boolean
  deliver (): void
  /** Makes the sender stop waiting for the answer; the message may still arrive. */
  giveUp (): void
}

export interface CallOptions<Answer> {
  readonly from: string
  readonly to: string
  readonly kind: string
  /** Whether the network may deliver the request twice. */
  readonly isRepeatable?: boolean
  /** Runs at the receiver; `respond` sends the answer, immediately or later. */
  handle (respond: (answer: Answer) => void): void
  /** Runs once at the sender; `answer` is `undefined` when the sender stopped waiting. */
  done (answer: Answer | undefined): void
}

export class Network {
  readonly messages: Message[] = []
  readonly #partitionedPairs = new Set<string>()
  readonly #unresponsiveIds = new Set<string>()

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

  /** Starts or ends a partition between two processes, in both directions. */
  setPartitioned (a: string, b: string, isPartitioned: boolean): void {
    const key = [a, b].sort().join('|')
    if (isPartitioned) this.#partitionedPairs.add(key)
    else this.#partitionedPairs.delete(key)
  }

  /** An unresponsive process receives no messages: it is paused or no longer exists. */
  setUnresponsive (id: string, isUnresponsive: boolean): void {
    if (isUnresponsive) this.#unresponsiveIds.add(id)
    else this.#unresponsiveIds.delete(id)
  }

  isUnresponsive (id: string): boolean {
    return this.#unresponsiveIds.has(id)
  }

  healPartitions (): void {
    this.#partitionedPairs.clear()
  }

  get deliverable (): readonly Message[] {
    return this.messages.filter(message => !this.#unresponsiveIds.has(message.to) && !this.#partitionedPairs.has([message.from, message.to].sort().join('|')))
  }

  /** Delivers a message; with `isRepeated`, a copy stays in flight. */
  deliver (message: Message, isRepeated = false): void {
    if (!isRepeated) this.messages.splice(this.messages.indexOf(message), 1)
    message.deliver()
  }

  /** Removes a message; its sender stops waiting at once. */
  drop (message: Message): void {
    this.messages.splice(this.messages.indexOf(message), 1)
    message.giveUp()
  }

  /** Drops all messages to a process that is lost permanently; their senders stop waiting. */
  dropMessagesTo (id: string): void {
    for (const message of this.messages.filter(candidate => candidate.to === id)) this.drop(message)
  }
}
