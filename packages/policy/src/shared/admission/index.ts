export { AdmissionQueue, type AdmissionOptions, type Offer, type WaitingRequest } from './admissionQueue.ts'
