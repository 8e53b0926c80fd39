/** Schema of the fleet text after YAML parsing. Checks across several parts follow in `fleetChecks.ts`. */
import { z } from 'zod'

/** Maximum size of a fleet text, which keeps stored texts far below the platform's limit of a megabyte. */
export const maxFleetTextBytes = 256 * 1024
export const maxServices = 200
export const maxVersionsPerService = 20
export const maxCallsPerService = 200

const namePattern = /^[a-z][a-z0-9-]{0,62}$/
const versionPattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/

export const serviceNameSchema = z.string()
  .regex(namePattern, 'a service name has up to 63 lower-case letters, digits and hyphens and starts with a letter')

/** Seconds are required, so that a deadline is read with the precision in which it was written. */
const moveBySchema = z.iso
  .datetime({ offset: true, error: 'moveBy must be a time with seconds and a UTC offset, such as 2026-12-05T06:00:00Z' })
  .pipe(z.coerce.date())
  .transform(date => date.getTime())

const versionSchema = z.strictObject({
  name: z.string().regex(versionPattern, 'a version name has up to 63 letters, digits, dots, hyphens and underscores'),
  moveBy: moveBySchema.optional()
})

const callSchema = z.strictObject({
  route: z.string(),
  idempotent: z.boolean(),
  priceTokens: z.int().min(0).max(1_000_000_000)
})

const serviceBase = {
  dependsOn: z.array(serviceNameSchema).max(maxServices).default([]),
  versions: z.array(versionSchema).min(1, 'a service needs at least one version').max(maxVersionsPerService),
  endpointLimit: z.int().min(1).max(100_000)
}

export const serviceSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('model'), ...serviceBase, maxOutputTokens: z.int().min(1).max(10_000_000) }),
  z.strictObject({
    kind: z.literal('plain'),
    ...serviceBase,
    calls: z.array(callSchema).min(1, 'a plain service needs at least one call, because calls that are not listed are refused').max(maxCallsPerService)
  })
], { error: issue => issue.code === 'invalid_union' ? 'kind must be model or plain' : undefined })

export const fleetTextSchema = z.strictObject({
  services: z.record(serviceNameSchema, serviceSchema)
    .refine(services => Object.keys(services).length > 0, 'the text lists no service')
    .refine(services => Object.keys(services).length <= maxServices, `the text lists more than ${maxServices} services`)
})

export type FleetTextValue = z.infer<typeof fleetTextSchema>
export type ServiceTextValue = FleetTextValue['services'][string]
