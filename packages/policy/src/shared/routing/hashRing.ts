/** Consistent hash ring that maps prompt prefixes to endpoints. */
import type { Hasher } from './hasher.ts'

/** Points per member. With 64, the largest share of the ring is within about a quarter of the mean. */
const pointsPerMember = 64

export class HashRing {
  readonly #points: readonly { readonly position: number, readonly id: string }[]

  constructor (hasher: Hasher, ids: readonly string[]) {
    this.#points = ids
      .flatMap(id => Array.from({ length: pointsPerMember }, (_, index) => ({ position: hasher(`${id}#${index}`), id })))
      .toSorted((left, right) => left.position - right.position || (left.id < right.id ? -1 : 1))
  }

  /** The first `count` distinct members clockwise from `position`. */
  successors (position: number, count: number): readonly string[] {
    const found = new Set<string>()
    const start = this.#indexFrom(position)
    for (let step = 0; step < this.#points.length && found.size < count; step++) {
      const point = this.#points[(start + step) % this.#points.length]
      if (point !== undefined) found.add(point.id)
    }
    return [...found]
  }

  /** Index of the first point at or after `position`. */
  #indexFrom (position: number): number {
    let low = 0
    let high = this.#points.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if ((this.#points[middle]?.position ?? 0) < position) low = middle + 1
      else high = middle
    }
    return low
  }
}
