/** Registry of the control handlers; each plugin registers its own. */
import { TRPCError } from '@trpc/server'
import type { RouterControlHandlers } from '@buckthorndrift/protocol'
import type { ControlRegistry } from '../../shared/services.ts'

type HandlerGroup = keyof RouterControlHandlers
type Handler = (input: never) => Promise<unknown>

export class HandlerRegistry implements ControlRegistry {
  readonly #handlers = new Map<string, Handler>()

  /** Handlers that look up the registered handler at each call; without one the call fails with `NOT_IMPLEMENTED`. */
  readonly handlers: RouterControlHandlers = {
    budget: this.#createGroup('budget'),
    documents: this.#createGroup('documents'),
    records: this.#createGroup('records'),
    evidence: this.#createGroup('evidence')
  }

  /** Throws if one of the handlers is already registered. */
  register<Group extends HandlerGroup> (group: Group, handlers: Partial<RouterControlHandlers[Group]>): void {
    // Handlers may be methods of a class, which Object.keys does not list, so they are looked up by name.
    for (const method of methodsByGroup[group]) {
      const handler = (handlers as Record<string, Handler | undefined>)[method]
      if (handler === undefined) continue
      const name = `${group}.${method}`
      if (this.#handlers.has(name)) throw new Error(`the control handler ${name} is registered twice`)
      this.#handlers.set(name, handler.bind(handlers))
    }
  }

  #createGroup<Group extends HandlerGroup> (group: Group): RouterControlHandlers[Group] {
    const call = (method: string): Handler => async input => {
      const handler = this.#handlers.get(`${group}.${method}`)
      if (handler === undefined) throw new TRPCError({ code: 'NOT_IMPLEMENTED', message: `no plugin handles ${group}.${method}` })
      return handler(input)
    }
    return Object.fromEntries(methodsByGroup[group].map(method => [method, call(method)])) as unknown as RouterControlHandlers[Group]
  }
}

const methodsByGroup: { readonly [Group in HandlerGroup]: readonly (keyof RouterControlHandlers[Group] & string)[] } = {
  budget: ['reserve', 'settle', 'recall', 'settledSeq'],
  documents: ['exchange'],
  records: ['replicateAccounts', 'handOver'],
  evidence: ['reportCrash', 'reportOutcomes']
}
