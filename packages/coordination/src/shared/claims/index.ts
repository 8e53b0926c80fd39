export { claimLayoutOf, claimsName, claimsPrefix, claimsSchema } from './claimsObject.ts'
