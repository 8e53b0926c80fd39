/** Chooses which requests of this router go to a version under trial, and to which of its endpoints. */
import { canFill, evaluationIntervalMs, hasLoadTrialBegun, loadTrialShare, loadWindowAt, maxLoadedRequests, maxRequestsPerInterval, stageShare, trialAllowance, type LoadWindow } from '@buckthorndrift/policy'
import type { EndpointEntry } from '../shared/fleet.ts'
import type { ActiveRollout } from './activeRollout.ts'

/** Time after which the stage that the controller told is too old to send more than a version under trial may receive. */
const stageValidityMs = 2000

export interface EligibleInput {
  readonly service: string
  readonly endpoints: readonly EndpointEntry[]
  /** Whether the endpoints are model engines. */
  readonly hasEngine: boolean
  /** Whether the request was already sent to an endpoint. */
  readonly isRepeated: boolean
}

export interface TrialPlacementInput {
  readonly rollout: ActiveRollout
  /** Whether the endpoints are model engines. */
  readonly hasEngine: boolean
  readonly elapsedMs: number
  readonly nowMs: number
  readonly isController: boolean
  readonly trialShare: number
  readonly trialSlack: number
  /** Number of routers in the fleet. */
  readonly routers: number
  /** Uniform in [0, 1). */
  readonly random: number
  /** Requests of this router in flight at an endpoint; `undefined` if the endpoint takes none or is avoided. */
  runningAt (entry: EndpointEntry): number | undefined
}

/** Endpoints of the target that get a first attempt; empty if it goes to another version. */
export function chooseTrialEndpoints (input: TrialPlacementInput, ofTarget: readonly EndpointEntry[]): readonly EndpointEntry[] {
  const { rollout, elapsedMs, trialShare, trialSlack, routers, random } = input
  const { requests, targetRequests, order: { durationMs } } = rollout
  if (ofTarget.length === 0) return []
  const isRamp = rollout.stage.kind === 'ramp' && (input.isController || input.nowMs - rollout.stageKnownMs < stageValidityMs)
  if (isRamp) return random < stageShare(rollout.stage, durationMs, trialShare) ? ofTarget : []
  const isInTrialShare = random < stageShare({ kind: 'trial' }, durationMs, trialShare)
  // A trial that goes on past the deadline needs further requests to end a suspicion.
  if (elapsedMs > durationMs) return isInTrialShare ? ofTarget : []
  const allowance = trialAllowance({ requests, elapsedMs, durationMs, trialShare, trialSlack, routers })
  if (targetRequests + 1 > allowance) return []
  if (!canLoad(input, ofTarget) || !hasLoadTrialBegun(elapsedMs, durationMs)) return isInTrialShare ? ofTarget : []
  const window = loadWindowAt(elapsedMs, durationMs)
  return window === undefined ? [] : chooseLoadedEndpoint(input, ofTarget, window, maxRequestsPerInterval(allowance))
}

/** Whether a load trial is worth its requests. An engine reads prompts one after the other, so if all requests of the service together hardly fill one engine, they are late there and its slots are not in use. */
function canLoad ({ rollout, routers, hasEngine }: TrialPlacementInput, [first]: readonly EndpointEntry[]): boolean {
  return !hasEngine || (first !== undefined && canFill({ slots: first.slots, meanRunning: rollout.meanRunning, routers }))
}

/** The endpoint that this window of the load trial loads. All routers choose the same one. */
function chooseLoadedEndpoint ({ rollout, elapsedMs, routers, random, runningAt }: TrialPlacementInput, ofTarget: readonly EndpointEntry[], { index }: LoadWindow, maxRequests: number): readonly EndpointEntry[] {
  const accepting = ofTarget.filter(entry => runningAt(entry) !== undefined).sort((a, b) => a.id < b.id ? -1 : 1)
  const endpoint = accepting[index % accepting.length]
  if (endpoint === undefined) return []
  const { slots } = endpoint
  const share = loadTrialShare({ slots, meanRunning: rollout.meanRunning, routers })
  const isFull = runningAt(endpoint)! >= maxLoadedRequests(slots)
  if (random >= share || isFull) return []
  // All routers count the intervals from the start of the rollout, so that their requests come together.
  return rollout.tryTakeLoaded(Math.floor(elapsedMs / evaluationIntervalMs), maxRequests) ? [endpoint] : []
}
