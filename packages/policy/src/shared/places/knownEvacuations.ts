/**
 * Failure domains that operators have ordered to be evacuated: their endpoints get no new
 * requests until the order is taken back.
 *
 * Without knowledge of the orders no failure domain may be used. An order that is known
 * ends only by a removal, or by a list that cannot lack it.
 */
export class KnownEvacuations {
  readonly #ordered = new Set<string>()
  #isKnown: boolean

  /** With `isOffered` false there are no such orders, and every failure domain may be used at once. */
  constructor ({ isOffered }: { readonly isOffered: boolean }) {
    this.#isKnown = !isOffered
  }

  /** Whether all orders have been listed at least once. */
  get isKnown (): boolean {
    return this.#isKnown
  }

  /** Number of failure domains that are evacuated. */
  get size (): number {
    return this.#ordered.size
  }

  /** Whether endpoints of this failure domain may get new requests. */
  mayUse (failureDomain: string): boolean {
    return this.#isKnown && !this.#ordered.has(failureDomain)
  }

  /** Records an order. Returns whether it is new. */
  begin (failureDomain: string): boolean {
    if (this.#ordered.has(failureDomain)) return false
    this.#ordered.add(failureDomain)
    return true
  }

  /** Records that an order was taken back. Returns whether it was known. */
  end (failureDomain: string): boolean {
    return this.#ordered.delete(failureDomain)
  }

  /** Applies a list of all orders. `mayLackOrders` tells that the store may have lost some of them, so that a missing order still holds. Returns the orders that ended. */
  applyListed (failureDomains: ReadonlySet<string>, { mayLackOrders }: { readonly mayLackOrders: boolean }): readonly string[] {
    this.#isKnown = true
    for (const failureDomain of failureDomains) this.#ordered.add(failureDomain)
    if (mayLackOrders) return []
    const ended = [...this.#ordered].filter(failureDomain => !failureDomains.has(failureDomain))
    for (const failureDomain of ended) this.#ordered.delete(failureDomain)
    return ended
  }
}
