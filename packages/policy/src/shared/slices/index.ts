export { SliceEntries, type EntryRefusal, type EntryReservation, type OldEntries, type SliceEntry } from './sliceEntries.ts'
export { handoverName, handoverPrefix, handoverSchema, type StoredHandover } from './storedSlices.ts'
