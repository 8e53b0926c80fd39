/** The router process. */
export {
  budgetServiceKey, configServiceKey, controlRegistryKey, recordServiceKey, versionServiceKey, type BudgetService,
  type ConfigService, type ControlRegistry, type HeldReservation, type RecordService, type RefusalDetails, type VersionService
} from './shared/services.ts'
export { createConfigPlugin } from './node/config/configPlugin.ts'
export { resolveRouterSettings, routerSettings, tlsFilesOf, type ListenerName, type ResolvedRouterSettings, type RouterSettings } from './shared/routerSettings.ts'
export { runRouter } from './node/runRouter.ts'
export { createBudgetPlugin, type BudgetPluginOptions } from './node/budget/index.ts'
export { defaultCallerSettings, type CallerSettings } from './shared/callerSettings.ts'
export { createCallerPlugin, type CallerPluginOptions } from './node/callers/callerPlugin.ts'
export { createControlPlugin, type ControlPluginOptions } from './node/control/controlPlugin.ts'
export { startRouter, type RouterOptions } from './node/routerProcess.ts'
export { createRolloutsPlugin, type RolloutsPluginOptions } from './node/rollouts/rolloutsPlugin.ts'
export { createRecordsPlugin, type RecordsPluginOptions } from './node/records/recordsPlugin.ts'
