/** Decision logic of the fleet, without sockets, clocks or processes. */
export * from './shared/verdict/index.ts'
export * from './shared/fleet/index.ts'
export * from './shared/routing/index.ts'
export * from './shared/retry/index.ts'
export * from './shared/crash/index.ts'
export * from './shared/records/index.ts'
