export { EndpointHealth } from './endpointHealth.ts'
export { PrefixHistory, type PrefixPart } from './prefixHistory.ts'
export { estimateFirstTokenMs, placeGeneration, prefillTokensPerMs, type GenerationCandidate, type GenerationChoice, type GenerationPlacement } from './placeGeneration.ts'
export { placeCall, type CallCandidate } from './placeCall.ts'
