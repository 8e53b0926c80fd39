/** Control clients of routers and of other endpoint processes. */
import { randomInt } from 'node:crypto'
import { LRUCache } from 'lru-cache'
import { definePlugin, type Plugin } from '@buckthorndrift/kernel'
import { membershipKey, type Membership } from '@buckthorndrift/coordination'
import { createEndpointClient, createRouterClient, type EndpointClient, type Member, type RouterClient } from '@buckthorndrift/protocol'
import type { EndpointSettings } from '../shared/endpointSettings.ts'
import { peersKey, type Peers } from '../shared/services.ts'

/** Clients kept; each is small, and a fleet has some 1300 processes. */
const clientsLimit = 2000

function shuffled<Item> (items: readonly Item[]): readonly Item[] {
  const rest = [...items]
  for (let index = rest.length - 1; index > 0; index -= 1) {
    const other = randomInt(index + 1)
    const item = rest[index]!
    rest[index] = rest[other]!
    rest[other] = item
  }
  return rest
}

function createPeers (settings: EndpointSettings, membership: Membership): Peers {
  const options = { fleetSecret: settings.fleetSecret, timeoutMs: settings.controlTimeoutMs }
  const routers = new LRUCache<string, RouterClient>({ max: clientsLimit, memoMethod: url => createRouterClient({ ...options, url }) })
  const endpoints = new LRUCache<string, EndpointClient>({ max: clientsLimit, memoMethod: url => createEndpointClient({ ...options, url }) })

  async function tellOne (router: Member, send: (client: RouterClient) => Promise<unknown>): Promise<boolean> {
    try {
      await send(routers.memo(router.controlUrl))
      membership.noteAlive(router.id)
      return true
    } catch {
      membership.noteUnreachable(router.id)
      return false
    }
  }

  return {
    router: url => routers.memo(url),
    endpoint: url => endpoints.memo(url),
    async tell (send, { most = 5, wanted = 1 } = {}) {
      let taken = 0
      for (const router of shuffled(membership.routers({ isReachable: true })).slice(0, most)) {
        if (await tellOne(router, send)) taken += 1
        if (taken === wanted) break
      }
      return taken > 0
    }
  }
}

export function createPeersPlugin (settings: EndpointSettings): Plugin {
  return definePlugin({
    name: 'peers',
    setup (context) {
      context.provide(peersKey, createPeers(settings, context.use(membershipKey)))
      return undefined
    }
  })
}
