/** Recalls by other holders that wait until the returned tokens are written. */
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

  /** Removes and answers the recalls of which no budget waits for a write. */
  takeDone (held: ReadonlyMap<string, HeldBudget>): readonly HolderEffect[] {
    const isOpen = (budgets: readonly string[]) => budgets.some(budget => held.get(budget)?.isRecalled === true)
    const done = this.#recalls.filter(recall => !isOpen(recall.budgets))
    this.#recalls = this.#recalls.filter(recall => isOpen(recall.budgets))
    return done.map(({ id }) => ({ kind: 'recalled', id }))
  }
}
