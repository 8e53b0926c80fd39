/** Claims idempotency keys at the endpoint process that owns their shard. */
import { LRUCache } from 'lru-cache'
import { claimLayoutOf, claimsName, type Documents, type Membership } from '@buckthorndrift/coordination'
import { locateClaimShard, mayHaveRun, notRun, type ClaimLayout, type ClaimShardLocation, type Failure } from '@buckthorndrift/policy'
import { createEndpointClient, type Claim, type ClaimOutput, type EndpointClient, type EndpointRef } from '@buckthorndrift/protocol'
import type { ClaimAnswer, ClaimService } from './runDeps.ts'

export interface ClaimClientOptions {
  readonly documents: Documents
  readonly membership: Membership
  readonly fleetSecret: string
  readonly timeoutMs: number
}

/** Rounds of reading the layout again before the request is refused. */
const maxRounds = 3
const maxClients = 500
const retryAfterMs = 1000

function unavailable (isKnownUnclaimed: boolean): ClaimAnswer {
  const failure: Failure = {
    verdict: isKnownUnclaimed ? notRun : mayHaveRun,
    reason: 'claimUnavailable',
    detail: isKnownUnclaimed ? 'the idempotency key cannot be claimed now' : 'an earlier request with this idempotency key may have run',
    retryAfterMs
  }
  return { kind: 'failed', failure }
}

export class ClaimClient implements ClaimService {
  readonly #options: ClaimClientOptions
  readonly #clients: LRUCache<string, EndpointClient>
  readonly #layouts = new Map<string, { readonly version: number, readonly layout: ClaimLayout | undefined }>()

  constructor (options: ClaimClientOptions) {
    this.#options = options
    const { fleetSecret, timeoutMs } = options
    this.#clients = new LRUCache({ max: maxClients, memoMethod: url => createEndpointClient({ url, fleetSecret, timeoutMs }) })
  }

  async claim (service: string, claim: Claim, replaces?: string): Promise<ClaimAnswer> {
    for (let round = 0; round < maxRounds; round++) {
      const layout = this.#layoutOf(service)
      const place = layout === undefined ? undefined : locateClaimShard(layout, claim.keyHash)
      if (place === undefined) {
        await this.#refresh(service)
        continue
      }
      const output = await this.#askOwner(service, place, claim, replaces)
      if (output !== undefined && output.kind !== 'notOwner') return answerOf(output)
      if (output === undefined) {
        const answer = await this.#askWitness(service, place, claim, replaces)
        if (answer !== undefined) return answer
      }
      await this.#refresh(service)
    }
    // Without the layout nobody was asked, so nobody can tell whether the key was used before.
    return unavailable(false)
  }

  /** `undefined` when the owner does not answer. */
  async #askOwner (service: string, place: ClaimShardLocation, claim: Claim, replaces?: string): Promise<ClaimOutput | undefined> {
    if (this.#options.membership.isSuspected(place.owner.id)) return undefined
    return this.#ask(place.owner, service, place, claim, replaces)
  }

  /** Asks the witness to take over; `undefined` when the layout has to be read again. */
  async #askWitness (service: string, place: ClaimShardLocation, claim: Claim, replaces?: string): Promise<ClaimAnswer | undefined> {
    const { witness, shard, epoch } = place
    if (witness === undefined) return unavailable(false)
    try {
      await this.#client(witness).claims.takeOver.mutate({ service, shard, epoch })
      return undefined
    } catch {
      // While the platform is down nobody takes over; the witness still knows whether the key was claimed.
      const output = await this.#ask(witness, service, place, claim, replaces)
      if (output === undefined || output.kind === 'notOwner') return unavailable(false)
      return answerOf(output)
    }
  }

  async #ask (endpoint: EndpointRef, service: string, { shard, epoch }: ClaimShardLocation, claim: Claim, replaces?: string): Promise<ClaimOutput | undefined> {
    try {
      return await this.#client(endpoint).claims.claim.mutate({
        service, shard, epoch, claim, ...(replaces === undefined ? {} : { replaces })
      })
    } catch {
      this.#options.membership.noteUnreachable(endpoint.id)
      return undefined
    }
  }

  #client (endpoint: EndpointRef): EndpointClient {
    return this.#clients.memo(endpoint.url)
  }

  /** The layout in force; parsed once per version. */
  #layoutOf (service: string): ClaimLayout | undefined {
    const document = this.#options.documents.get(claimsName(service))
    if (document === undefined) return undefined
    const known = this.#layouts.get(service)
    if (known?.version === document.version) return known.layout
    const layout = claimLayoutOf(document.value)
    this.#layouts.set(service, { version: document.version, layout })
    return layout
  }

  async #refresh (service: string): Promise<void> {
    await this.#options.documents.refresh(claimsName(service))
  }
}

function answerOf (output: Exclude<ClaimOutput, { kind: 'notOwner' }>): ClaimAnswer {
  switch (output.kind) {
    case 'granted':
    case 'held': return output
    case 'unavailable': return unavailable(output.isKnownUnclaimed)
    case 'unknown': return unavailable(false)
  }
}
