/** Decision logic of the fleet, without sockets, clocks or processes. */
export * from './shared/verdict/index.ts'
export * from './shared/fleet/index.ts'
export * from './shared/budget/index.ts'
export * from './shared/admission/index.ts'
export * from './shared/slices/index.ts'
export * from './shared/records/index.ts'
export * from './shared/rollout/index.ts'
