/** Plugin of a router: reservations of tokens for the caller path, and the `budget` control handlers. */
import { definePlugin, type Plugin } from '@buckthorndrift/kernel'
import { defaultBudgetLimits, type BudgetLimits } from '@buckthorndrift/policy'
import { membershipKey, objectStoreKey } from '@buckthorndrift/platform'
import { budgetServiceKey, controlRegistryKey } from '../../shared/services.ts'
import { BudgetHome } from './budgetHome.ts'

export interface BudgetPluginOptions {
  /** Overrides of the defaults. */
  readonly limits?: Partial<BudgetLimits>
}

/** How often the holders look at their clocks. */
const tickMs = 100

/** Creates the plugin. Needs the object store, membership and the control registry. */
export function createBudgetPlugin (options: BudgetPluginOptions = {}): Plugin {
  return definePlugin({
    name: 'budget',
    setup (context) {
      const home = new BudgetHome({
        store: context.use(objectStoreKey),
        membership: context.use(membershipKey),
        timers: context.timers,
        log: context.log,
        limits: { ...defaultBudgetLimits, ...options.limits }
      })
      context.use(controlRegistryKey).register('budget', home)
      context.provide(budgetServiceKey, home.service)
      const stopTicks = context.timers.every(tickMs, () => { home.tick() })
      return {
        drain: () => home.drain(),
        close () { stopTicks() }
      }
    }
  })
}
