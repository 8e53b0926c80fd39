/** Schemas of the administration API's requests and responses. */
import { z } from 'zod'
import { billingRecordSchema, refusalAccountSchema } from '@buckthorndrift/protocol'

const namePattern = /^[a-z0-9][a-z0-9-]{0,62}$/
const nameRule = 'has up to 63 lower-case letters, digits and hyphens and starts with a letter or digit'

export const organisationName = z.string().regex(namePattern, `an organisation name ${nameRule}`)
export const budgetName = z.string().regex(namePattern, `a budget name ${nameRule}`)
export const keyId = z.string().regex(/^[0-9a-f]{16}$/, 'a key id has 16 hexadecimal digits')
export const operationId = z.string().regex(/^[A-Za-z0-9._-]{1,64}$/, 'an operation id has up to 64 letters, digits, dots, hyphens and underscores')
  .describe('Chosen by the caller; repeating the call with the same id has no further effect.')
export const tokens = z.int().min(1).max(1e15).describe('Tokens.')
const count = z.int().min(0)
const time = z.number().describe('Milliseconds since the Unix epoch.')

export const fleetChange = z.object({
  kind: z.enum(['added', 'removed', 'changed']),
  part: z.string(),
  before: z.string().optional(),
  after: z.string().optional()
})

export const storedFleet = z.object({
  version: count.describe('0 when no text was ever applied.'),
  text: z.string(),
  appliedBy: z.string(),
  appliedAtMs: time
})

export const follower = z.object({
  id: z.string(),
  role: z.enum(['router', 'endpoint']),
  version: count.nullable().describe('Version that the process holds; null when it is not known.'),
  state: z.enum(['following', 'behind', 'unreachable', 'notReported'])
})

export const keyEntry = z.object({ keyId, budget: budgetName, createdAtMs: time })

export const organisationSummary = z.object({ name: organisationName, createdAtMs: time, budgets: count, keys: count })

export const organisationDetails = z.object({
  name: organisationName,
  createdAtMs: time,
  budgets: z.array(budgetName),
  keys: z.array(keyEntry)
})

export const createdKey = keyEntry.extend({
  key: z.string().describe('The API key. It is stored as a hash only and cannot be shown again.')
})

export const budgetFigures = z.object({
  name: budgetName,
  grantedTokens: count.describe('All tokens ever granted.'),
  spentTokens: count.describe('Tokens of closed slices and settled tokens of open ones.'),
  heldTokens: count.describe('Tokens in slices of routers that are not settled yet.'),
  freeTokens: count.describe('Tokens that no router holds.')
})

export const versionStatus = z.object({
  name: z.string(),
  moveByMs: time.optional(),
  endpoints: count.describe('Registered endpoint processes.'),
  leaving: count.describe('Registered endpoint processes that are shutting down.')
})

export const serviceStatus = z.object({
  name: z.string(),
  kind: z.enum(['model', 'plain']),
  dependsOn: z.array(z.string()),
  endpointLimit: count,
  versions: z.array(versionStatus)
})

export const memberStatus = z.object({
  id: z.string(),
  incarnation: z.string(),
  role: z.enum(['router', 'endpoint']),
  vm: z.string(),
  failureDomain: z.string(),
  service: z.string().optional(),
  version: z.string().optional(),
  state: z.enum(['live', 'leaving', 'suspected'])
})

export const rolloutStatus = z.object({
  service: z.string(),
  documentVersion: count,
  baseline: z.string(),
  target: z.string(),
  targetShare: z.number().describe('Share of the traffic that the target gets, 0 to 1.'),
  phase: z.enum(['moving', 'done', 'rolledBack']),
  reason: z.string().optional().describe('Why the target was rolled back.'),
  startedAtMs: time,
  moveByMs: time.optional(),
  holder: z.string().describe('Router that decides about the rollout.')
})

export const refusalEntry = refusalAccountSchema
export const billingEntry = billingRecordSchema

const pageSize = z.coerce.number<number>().int().min(1).max(1000).default(100).describe('Maximum number of entries on a page.')

/** Query parameters of a paginated list. */
export const pageQuery = z.object({
  after: z.string().max(400).optional().describe('`next` of the previous page.'),
  limit: pageSize
})

export const recordQuery = pageQuery.extend({
  organisation: organisationName,
  fromMs: z.coerce.number<number>().min(0).max(8e15).describe('Start of the time range, in ms since the Unix epoch.'),
  toMs: z.coerce.number<number>().min(0).max(8e15).describe('End of the time range, exclusive, in ms since the Unix epoch.')
})

/** Schema of a page; `next` is absent on the last page. */
export function pageOf<Item extends z.ZodType> (item: Item) {
  return z.object({ items: z.array(item), next: z.string().optional() })
}
