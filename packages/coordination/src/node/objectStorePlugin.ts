/** Plugin that provides the platform's object API to other plugins. */
import { definePlugin, type Plugin } from '@buckthorndrift/kernel'
import { objectStoreKey } from '../shared/objectStore.ts'
import { createHttpObjectStore, type HttpObjectStoreOptions } from './httpObjectStore.ts'

export type ObjectStorePluginOptions = Omit<HttpObjectStoreOptions, 'timers'>

/** Creates a plugin that provides `objectStoreKey`. Calls in flight fail when the process closes. */
export function createObjectStorePlugin (options: ObjectStorePluginOptions): Plugin {
  return definePlugin({
    name: 'objectStore',
    setup (context) {
      const store = createHttpObjectStore({ ...options, timers: context.timers })
      context.provide(objectStoreKey, store)
      return { close: () => store.close() }
    }
  })
}
