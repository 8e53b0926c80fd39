/** Load that the requests of one or more routers put on an engine. */
export interface EngineLoad {
  /** Prompt tokens that the engine still has to read. */
  readonly pendingTokens: number
  /** Requests in flight. */
  readonly running: number
  /** Tokens that they hold in the engine's memory. */
  readonly heldTokens: number
}

/** Loads by endpoint id. */
export type EngineLoads = ReadonlyMap<string, EngineLoad>

export const noLoad: EngineLoad = { pendingTokens: 0, running: 0, heldTokens: 0 }

export function addLoads (left: EngineLoad, right: EngineLoad): EngineLoad {
  return { pendingTokens: left.pendingTokens + right.pendingTokens, running: left.running + right.running, heldTokens: left.heldTokens + right.heldTokens }
}
