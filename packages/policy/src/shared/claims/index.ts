export { ClaimNode, type ClaimNodeOptions, type ClaimPorts, type LayoutWrite, type StoredLayout } from './claimNode.ts'
export { ClaimShard, type ClaimShardOptions } from './claimShard.ts'
export { caretakerOf, chooseWitness, claimShardOf, createClaimLayout, locateClaimShard, type ClaimShardLocation } from './claimLayout.ts'
export {
  isSameProcess, type ClaimAnswer, type ClaimCopy, type ClaimCopyAnswer, type ClaimLayout, type ClaimProcess, type ClaimRequest, type ClaimRunner,
  type ClaimShardLayout, type KeyClaim
} from './claimTypes.ts'
