/** The router process. */
export {
  budgetServiceKey, configServiceKey, controlRegistryKey, recordServiceKey, versionServiceKey, type BudgetService,
  type ConfigService, type ControlRegistry, type HeldReservation, type RecordService, type RefusalDraft, type VersionService
} from './shared/services.ts'
export { createConfigPlugin } from './node/config/configPlugin.ts'
export { callerSettingsOf, resolveRouterSettings, routerSettings, tlsFilesOf, type ListenerName, type ResolvedRouterSettings, type RouterSettings } from './shared/routerSettings.ts'
export { runRouter } from './node/runRouter.ts'
export { createBudgetPlugin, type BudgetPluginOptions } from './node/budget/index.ts'
export { defaultCallerSettings, type CallerSettings } from './shared/callerSettings.ts'
export { callerPlugin, type CallerPluginOptions } from './node/callers/callerPlugin.ts'
export { controlPlugin, type ControlPluginOptions } from './node/control/controlPlugin.ts'
