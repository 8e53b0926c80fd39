export { EndpointHealth } from './endpointHealth.ts'
export { PrefixHistory, type PrefixPart } from './prefixHistory.ts'
export { estimateFirstTokenMs, placeGeneration, readTokensPerMs, type GenerationCandidate, type GenerationChoice, type GenerationPlace } from './placeGeneration.ts'
export { placeCall, type CallCandidate } from './placeCall.ts'
