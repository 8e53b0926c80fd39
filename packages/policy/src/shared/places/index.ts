export { KnownEvacuations } from './knownEvacuations.ts'
