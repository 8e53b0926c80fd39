export { ConnectionOrder, maxRequestsAhead } from './connectionOrder.ts'
export { HeldMemory, heldMemoryBytes, type MemoryHolder } from './heldMemory.ts'
export { socketShares, type SocketShares } from './socketShares.ts'
