/** Client of the platform, documents, membership and leases. */
export {
  documentsKey, objectStoreKey, type Documents, type ListedVm, type ObjectChange, type ObjectStore,
  type StoredObject, type StoreFailure, type WatchAnswer
} from './shared/objectStore.ts'
export { MemoryObjects, MemoryObjectStore, type MemoryObjectStoreOptions, type MemoryStoreCall, type MemoryStoreFault } from './shared/memoryObjectStore.ts'
export { updateObject, type ObjectUpdate, type UpdatedObject, type UpdateOptions } from './shared/updateObject.ts'
export { createHttpObjectStore, type HttpObjectStore, type HttpObjectStoreOptions } from './node/httpObjectStore.ts'
export { createObjectStorePlugin, type ObjectStorePluginOptions } from './node/objectStorePlugin.ts'
export { membershipKey, type Membership } from './shared/membership.ts'
export * from './shared/records/index.ts'
