export { SliceEntries, type EntryRefusal, type EntryReservation, type EntryQuery, type SliceEntry } from './sliceEntries.ts'
export { fencesName, fencesSchema, handoverName, handoverPrefix, handoverSchema, type StoredFences, type StoredHandover } from './storedSlices.ts'
