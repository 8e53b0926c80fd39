/** The router process. */
export {
  budgetServiceKey, configServiceKey, controlRegistryKey, recordServiceKey, versionServiceKey, type BudgetService,
  type ConfigService, type ControlRegistry, type HeldReservation, type RecordService, type RefusalDraft, type VersionService
} from './shared/services.ts'
export { createBudgetPlugin, type BudgetPluginOptions } from './node/budget/index.ts'
