/** Administration API of the fleet and its client. */
export { adminListenerKey, createAdminPlugin, type AdminListener, type AdminOptions } from './node/adminPlugin.ts'
export { createAdminClient, type AdminCallFailure, type AdminClient, type AdminClientOptions } from './node/adminClient.ts'
export { openListener, type Listener, type ListenerOptions, type TlsFiles } from './node/listener.ts'
export { parseAdminKeys, type AdminKey } from './shared/adminKeys.ts'
export { createOpenApi } from './shared/openApi.ts'
export { type CallInputOf, type InputOf, type OperationName, type OutputOf } from './shared/operations.ts'
export { problemOf, refuse, storeProblem, type AdminProblem, type AdminProblemCode } from './shared/problem.ts'
export { fullBudgetName } from './shared/organisations/organisationShard.ts'
