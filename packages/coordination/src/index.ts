/** Client of the platform, documents, membership and leases. */
export {
  documentsKey, objectStoreKey, type Documents, type ListedVm, type ObjectChange, type ObjectStore,
  type StoredObject, type StoreFailure, type WatchAnswer
} from './shared/objectStore.ts'
export { MemoryObjects, MemoryObjectStore, type MemoryObjectStoreOptions, type MemoryStoreCall, type MemoryStoreFault } from './shared/memoryObjectStore.ts'
export { updateObject, type ObjectUpdate, type UpdatedObject, type UpdateOptions } from './shared/updateObject.ts'
export { createHttpObjectStore, type HttpObjectStore, type HttpObjectStoreOptions } from './node/httpObjectStore.ts'
export { createObjectStorePlugin, type ObjectStorePluginOptions } from './node/objectStorePlugin.ts'
export { createDocumentsPlugin, type DocumentsPluginOptions } from './node/documentsPlugin.ts'
export { defaultDocumentsTuning, documentPrefixes, DocumentsService, type DocumentsServiceOptions, type DocumentsTuning } from './shared/documentsService.ts'
export { DocumentTable } from './shared/documentTable.ts'
export { memberListName, memberListSchema, departedEndpointsOf, membersOf, membersPrefix, type DepartedEndpoint, type MemberList } from './shared/memberList.ts'
export { rankByHash } from './shared/ranking.ts'
export { Suspicions, suspicionsKey } from './shared/suspicions.ts'
export { campaignForLease, defaultLeaseTuning, leaseSchema, leasesPrefix, type Lease, type LeaseOptions, type LeaseTuning, type LeaseValue } from './shared/lease.ts'
export { leaseCandidates, leasesKey, type Leases } from './shared/leases.ts'
export { createLeasesPlugin, createLeavingPlugin, createMembershipPlugin, createVmListPlugin, type LeasesPluginOptions, type MembershipPluginOptions, type VmListPluginOptions } from './node/membershipPlugin.ts'
export { MembershipService, type MembershipServiceOptions } from './shared/membershipService.ts'
export { defaultVmListTuning, VmAbsences, type VmListTuning } from './shared/vmListDuty.ts'
export { membershipKey, registrationKey, type Membership, type Registration } from './shared/membership.ts'
export * from './shared/budgets/index.ts'
export * from './shared/records/index.ts'
export * from './shared/claims/index.ts'
