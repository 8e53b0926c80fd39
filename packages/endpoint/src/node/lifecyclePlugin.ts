/** Graceful shutdown and orders to the engine. */
import { definePlugin, type Plugin, type TimerService } from '@buckthorndrift/kernel'
import type { OrderInput, OrderOutput } from '@buckthorndrift/protocol'
import type { EndpointSettings } from '../shared/endpointSettings.ts'
import { controlPartsKey } from '../shared/services.ts'
import type { BackEnd } from './backEnd.ts'
import type { Gate } from './requestDispatcher.ts'

/**
 * Passes orders on one at a time. Some engines ignore fencing tokens, so a
 * token below the highest seen is refused here, and an order that waits is
 * checked again when its turn comes.
 */
export function createOrders (backEnd: BackEnd, onStale: (input: OrderInput) => void): (input: OrderInput) => Promise<OrderOutput> {
  let highestToken = 0
  let last: Promise<unknown> = Promise.resolve()

  async function pass (input: OrderInput): Promise<OrderOutput> {
    if (input.fencingToken < highestToken) {
      onStale(input)
      return { kind: 'stale', fencingToken: highestToken }
    }
    const { status, body } = await backEnd.control('/orders', input)
    if (status === 409) return { kind: 'stale', fencingToken: highestToken }
    return status >= 200 && status < 300 ? { kind: 'accepted' } : { kind: 'failed', detail: status === 0 ? body : `status ${status}` }
  }

  return input => {
    highestToken = Math.max(highestToken, input.fencingToken)
    const result = last.then(() => pass(input))
    last = result
    return result
  }
}

async function within (timers: TimerService, limitMs: number, work: Promise<void>): Promise<boolean> {
  let stop = (): void => {}
  const timeout = new Promise<false>(resolve => { stop = timers.after(limitMs, () => { resolve(false) }) })
  const isDone = await Promise.race([work.then(() => true), timeout])
  stop()
  return isDone
}

/** `stop` starts the graceful shutdown of the whole process. */
export function createLifecyclePlugin (settings: EndpointSettings, gate: Gate, stop: () => void): Plugin {
  return definePlugin({
    name: 'lifecycle',
    setup (context) {
      const order = createOrders(gate.backEnd, ({ fencingToken }) => { context.log.event('staleOrderRefused', { fencingToken }) })
      context.use(controlPartsKey).set('lifecycle', { drain: async () => { stop() }, order })
      return {
        async drain () {
          if (!await within(context.timers, settings.drainLimitMs, gate.leave())) context.log.event('drainTimedOut')
        },
        close: () => gate.close()
      }
    }
  })
}
