/** Claims idempotency keys: asks the endpoint process that owns the key's shard, or the shard's witness (backup) if the owner does not respond. */
import { LRUCache } from 'lru-cache'
import { claimLayoutOf, claimsName, type Documents, type Membership } from '@buckthorndrift/coordination'
import { locateClaimShard, mayHaveRun, notRun, type ClaimLayout, type ClaimShardLocation, type Failure } from '@buckthorndrift/policy'
import { createEndpointClient, type Claim, type ClaimOutput, type EndpointClient, type EndpointRef } from '@buckthorndrift/protocol'
import type { ClaimResult, ClaimService } from './runDeps.ts'

export interface ClaimClientOptions {
  readonly documents: Documents
  readonly membership: Membership
  readonly fleetSecret: string
  readonly timeoutMs: number
}

/** Tries before the request is refused; the shard layout is read again after each. */
const maxTries = 3
const maxClients = 500
const retryAfterMs = 1000

function unavailable (isKnownUnclaimed: boolean): ClaimResult {
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

  async claim (service: string, claim: Claim, replaces?: string): Promise<ClaimResult> {
    for (let tries = 0; tries < maxTries; tries++) {
      const layout = this.#layoutOf(service)
      const location = layout === undefined ? undefined : locateClaimShard(layout, claim.keyHash)
      if (location === undefined) {
        await this.#refresh(service)
        continue
      }
      const output = await this.#askOwner(service, location, claim, replaces)
      if (output !== undefined && output.kind !== 'notOwner') return toClaimResult(output)
      if (output === undefined) {
        const result = await this.#askWitness(service, location, claim, replaces)
        if (result !== undefined) return result
      }
      await this.#refresh(service)
    }
    // No process has said that the key is unclaimed, so an earlier request with it may have run.
    return unavailable(false)
  }

  /** Sends the claim to the owner of the shard. `undefined` when the owner is suspected to be unreachable, or does not respond. */
  async #askOwner (service: string, location: ClaimShardLocation, claim: Claim, replaces?: string): Promise<ClaimOutput | undefined> {
    if (this.#options.membership.isSuspected(location.owner.id)) return undefined
    return this.#sendClaim(location.owner, service, location, claim, replaces)
  }

  /** Asks the witness to take over the shard. Returns `undefined` after a takeover: the caller then has to read the layout again and send the claim to the new owner. */
  async #askWitness (service: string, location: ClaimShardLocation, claim: Claim, replaces?: string): Promise<ClaimResult | undefined> {
    const { witness, shard, epoch } = location
    if (witness === undefined) return unavailable(false)
    try {
      await this.#client(witness).claims.takeOver.mutate({ service, shard, epoch })
      return undefined
    } catch {
      // No takeover is possible while the platform is down, but the witness still knows whether the key was claimed.
      const output = await this.#sendClaim(witness, service, location, claim, replaces)
      if (output === undefined || output.kind === 'notOwner') return unavailable(false)
      return toClaimResult(output)
    }
  }

  async #sendClaim (endpoint: EndpointRef, service: string, { shard, epoch }: ClaimShardLocation, claim: Claim, replaces?: string): Promise<ClaimOutput | undefined> {
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

  /** The current layout; parsed once per document version. */
  #layoutOf (service: string): ClaimLayout | undefined {
    const document = this.#options.documents.get(claimsName(service))
    if (document === undefined) return undefined
    const cached = this.#layouts.get(service)
    if (cached?.version === document.version) return cached.layout
    const layout = claimLayoutOf(document.value)
    this.#layouts.set(service, { version: document.version, layout })
    return layout
  }

  async #refresh (service: string): Promise<void> {
    await this.#options.documents.refresh(claimsName(service))
  }
}

function toClaimResult (output: Exclude<ClaimOutput, { kind: 'notOwner' }>): ClaimResult {
  switch (output.kind) {
    case 'granted':
    case 'held': return output
    case 'unavailable': return unavailable(output.isKnownUnclaimed)
    case 'unknown': return unavailable(false)
  }
}
