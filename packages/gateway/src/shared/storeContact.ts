/** Answer of a router to the question whether it reaches the store. */
import * as z from 'zod/mini'

export const storeContactSchema = z.readonly(z.object({
  /** Holder id of the router process. */
  holder: z.string(),
  isStoreAway: z.boolean()
}))
export type StoreContact = z.infer<typeof storeContactSchema>
