export { AdmissionQueue, type AdmissionOptions, type OfferResult, type WaitingRequest } from './admissionQueue.ts'
