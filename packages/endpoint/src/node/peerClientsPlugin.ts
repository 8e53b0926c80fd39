/** Provides control clients for routers and for other endpoint processes. */
import { randomInt } from 'node:crypto'
import { LRUCache } from 'lru-cache'
import { definePlugin, type Plugin } from '@buckthorndrift/kernel'
import { membershipKey, type Membership } from '@buckthorndrift/coordination'
import { createEndpointClient, createRouterClient, type EndpointClient, type Member, type RouterClient } from '@buckthorndrift/protocol'
import type { EndpointSettings } from '../shared/endpointSettings.ts'
import { peerClientsKey, type PeerClients } from '../shared/services.ts'

/** Most clients in each cache. A client is small, and a fleet has about 1300 processes. */
const maxClients = 2000

function shuffle<Item> (items: readonly Item[]): readonly Item[] {
  const rest = [...items]
  for (let index = rest.length - 1; index > 0; index -= 1) {
    const other = randomInt(index + 1)
    const item = rest[index]!
    rest[index] = rest[other]!
    rest[other] = item
  }
  return rest
}

function createPeerClients (settings: EndpointSettings, membership: Membership): PeerClients {
  const options = { fleetSecret: settings.fleetSecret, timeoutMs: settings.controlTimeoutMs }
  const routers = new LRUCache<string, RouterClient>({ max: maxClients, memoMethod: url => createRouterClient({ ...options, url }) })
  const endpoints = new LRUCache<string, EndpointClient>({ max: maxClients, memoMethod: url => createEndpointClient({ ...options, url }) })

  async function sendToRouter (router: Member, send: (client: RouterClient) => Promise<unknown>): Promise<boolean> {
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
    async sendToRouters (send, { maxAttempts = 5, deliveries = 1 } = {}) {
      let deliveredCount = 0
      for (const router of shuffle(membership.routers({ isReachable: true })).slice(0, maxAttempts)) {
        if (await sendToRouter(router, send)) deliveredCount += 1
        if (deliveredCount === deliveries) break
      }
      return deliveredCount > 0
    }
  }
}

export function createPeerClientsPlugin (settings: EndpointSettings): Plugin {
  return definePlugin({
    name: 'peers',
    setup (context) {
      context.provide(peerClientsKey, createPeerClients(settings, context.use(membershipKey)))
      return undefined
    }
  })
}
