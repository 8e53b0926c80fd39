export { ColdEndpoints, type ColdReport } from './coldEndpoints.ts'
export { KnownEvacuations } from './knownEvacuations.ts'
