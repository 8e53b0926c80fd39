export type { CallConfig, DirectoryKey, DirectoryShard, FleetConfig, ServiceConfig, StoredFleetText, VersionConfig } from './fleetConfig.ts'
