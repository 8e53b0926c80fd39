/** Stand-ins of the outside systems, for tests, benchmarks and demonstrations. */
export { startObjectApi, type ObjectApi, type ObjectApiCall, type ObjectApiCounters, type ObjectApiFaults, type ObjectApiOptions } from './node/objectApi.ts'
export { type ObjectTable, type TableObject } from './shared/objectTable.ts'
export { type StandInVm } from './shared/vmList.ts'
