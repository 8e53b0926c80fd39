/** Client of the platform, documents, membership and leases. */
export {
  documentsKey, objectStoreKey, type Documents, type ListedVm, type ObjectChange, type ObjectStore,
  type StoredObject, type StoreFailure, type WatchAnswer
} from './shared/objectStore.ts'
export { membershipKey, type Membership } from './shared/membership.ts'
export * from './shared/records/index.ts'
