/** Recalls: requests by other holders to return idle tokens. A recall is answered once the returned tokens are written to the shard. */
import type { HolderEffect } from './effects.ts'
import type { HeldBudget } from './heldBudget.ts'

export class PendingRecalls {
  #recalls: { readonly id: number, readonly budgets: readonly string[] }[] = []

  get isEmpty (): boolean {
    return this.#recalls.length === 0
  }

  add (id: number, budgets: readonly string[]): void {
    this.#recalls.push({ id, budgets })
  }

  /** Removes the recalls whose budgets need no further write, and returns their answers. */
  takeDone (held: ReadonlyMap<string, HeldBudget>): readonly HolderEffect[] {
    const isOpen = (budgets: readonly string[]) => budgets.some(budget => held.get(budget)?.isRecalled === true)
    const done = this.#recalls.filter(recall => !isOpen(recall.budgets))
    this.#recalls = this.#recalls.filter(recall => isOpen(recall.budgets))
    return done.map(({ id }) => ({ kind: 'recalled', id }))
  }
}
