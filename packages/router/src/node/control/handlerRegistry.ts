/** Handlers of the control listener, registered by the plugins. */
import { TRPCError } from '@trpc/server'
import type { RouterControlHandlers } from '@buckthorndrift/protocol'
import type { ControlRegistry } from '../../shared/services.ts'

type Part = keyof RouterControlHandlers
type Handler = (input: never) => Promise<unknown>

export class HandlerRegistry implements ControlRegistry {
  readonly #handlers = new Map<string, Handler>()

  /** Calls what is registered at the time of the call; a call without a handler is answered with an error. */
  readonly handlers: RouterControlHandlers = {
    budget: this.#part('budget'),
    documents: this.#part('documents'),
    records: this.#part('records'),
    evidence: this.#part('evidence')
  }

  /** Throws when one of the handlers is registered already. */
  register<Name extends Part> (part: Name, handlers: Partial<RouterControlHandlers[Name]>): void {
    // Handlers may be methods of a class, which Object.keys does not list, so the calls look them up by name.
    for (const method of methodsOf[part]) {
      const handler = (handlers as Record<string, Handler | undefined>)[method]
      if (handler === undefined) continue
      const name = `${part}.${method}`
      if (this.#handlers.has(name)) throw new Error(`the control handler ${name} is registered twice`)
      this.#handlers.set(name, handler.bind(handlers))
    }
  }

  #part<Name extends Part> (part: Name): RouterControlHandlers[Name] {
    const call = (method: string): Handler => async input => {
      const handler = this.#handlers.get(`${part}.${method}`)
      if (handler === undefined) throw new TRPCError({ code: 'NOT_IMPLEMENTED', message: `no plugin handles ${part}.${method}` })
      return handler(input)
    }
    return Object.fromEntries(methodsOf[part].map(method => [method, call(method)])) as unknown as RouterControlHandlers[Name]
  }
}

const methodsOf: { readonly [Name in Part]: readonly (keyof RouterControlHandlers[Name] & string)[] } = {
  budget: ['reserve', 'settle', 'recall', 'settledSeq'],
  documents: ['exchange'],
  records: ['replicateAccounts', 'handOver'],
  evidence: ['reportCrash', 'reportOutcomes']
}
