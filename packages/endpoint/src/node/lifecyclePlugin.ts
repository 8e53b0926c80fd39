/** Handles graceful shutdown, and forwards orders, such as to load a model, to the engine. */
import { definePlugin, type Plugin, type TimerService } from '@buckthorndrift/kernel'
import type { OrderInput, OrderOutput } from '@buckthorndrift/protocol'
import type { EndpointSettings } from '../shared/endpointSettings.ts'
import { controlHandlersKey } from '../shared/services.ts'
import type { BackEndClient } from './backEndClient.ts'
import type { RequestDispatcher } from './requestDispatcher.ts'

/**
 * Creates a function that forwards orders to the engine one at a time.
 *
 * Some engines ignore fencing tokens. An order whose token is below the highest
 * token received is therefore refused here. The check happens when the order is
 * about to be sent, because a higher token may have arrived while it waited.
 */
export function createOrderSender (backEndClient: BackEndClient, onStale: (input: OrderInput) => void): (input: OrderInput) => Promise<OrderOutput> {
  let highestToken = 0
  let lastOrder: Promise<unknown> = Promise.resolve()

  async function sendOrder (input: OrderInput): Promise<OrderOutput> {
    if (input.fencingToken < highestToken) {
      onStale(input)
      return { kind: 'stale', fencingToken: highestToken }
    }
    const { status, body } = await backEndClient.postControl('/orders', input)
    if (status === 409) return { kind: 'stale', fencingToken: highestToken }
    return status >= 200 && status < 300 ? { kind: 'accepted' } : { kind: 'failed', detail: status === 0 ? body : `status ${status}` }
  }

  return input => {
    highestToken = Math.max(highestToken, input.fencingToken)
    const result = lastOrder.then(() => sendOrder(input))
    lastOrder = result
    return result
  }
}

/** Resolves with true if the task completes within the limit, or with false after it. */
async function completesWithin (timers: TimerService, limitMs: number, task: Promise<void>): Promise<boolean> {
  let stopTimer = (): void => {}
  const timeout = new Promise<false>(resolve => { stopTimer = timers.after(limitMs, () => { resolve(false) }) })
  const isDone = await Promise.race([task.then(() => true), timeout])
  stopTimer()
  return isDone
}

/** Creates the plugin. `stop` starts the graceful shutdown of the whole process. */
export function createLifecyclePlugin (settings: EndpointSettings, dispatcher: RequestDispatcher, stop: () => void): Plugin {
  return definePlugin({
    name: 'lifecycle',
    setup (context) {
      const order = createOrderSender(dispatcher.backEndClient, ({ fencingToken }) => { context.log.event('staleOrderRefused', { fencingToken }) })
      context.use(controlHandlersKey).set('lifecycle', { drain: async () => { stop() }, order })
      return {
        async drain () {
          if (!await completesWithin(context.timers, settings.drainLimitMs, dispatcher.drain())) context.log.event('drainTimedOut')
        },
        close: () => dispatcher.close()
      }
    }
  })
}
