/** Settings of a gateway process. */

export interface Address {
  readonly host: string
  readonly port: number
}

export interface Deployment {
  readonly nodeName: string
  readonly failureDomain: string
  /** Listen address for callers. */
  readonly callers: Address
  /** Listen address of the readiness check. */
  readonly readiness: Address
  /** Listen address of the metrics; `undefined` when none are served. */
  readonly metrics: Address | undefined
  /** Listen address for loan requests of other routers; `undefined` when routers do not lend each other budget tokens. */
  readonly peers: Address | undefined
  /** Address of the object store. */
  readonly store: Address
  /** Time within which this router must see each change in the store while there are no faults, in ms. */
  readonly contactMs: number
  /** Time between SIGTERM and SIGKILL, in ms. */
  readonly graceMs: number
  /** Retries that all routers together may send a service, as a share of its requests. */
  readonly retryShare: number
  /** Retries that all routers together may send a service in one window in addition to `retryShare`. */
  readonly retrySlack: number
  readonly retryWindowMs: number
  /** Share of the requests of a service that a version under trial may receive; 0 in a deployment without rollouts. */
  readonly trialShare: number
  /** Requests that a version under trial may receive in addition to `trialShare`. */
  readonly trialSlack: number
  /** Whether operators order failure domains to be evacuated. */
  readonly hasEvacuations: boolean
  /** Requests that a cold endpoint may get in one second: `overrun` times the pace that its service names, and `slack`. `undefined` in a deployment without such a bound. */
  readonly coldBound: { readonly overrun: number, readonly slack: number } | undefined
  /** Interval at which endpoints write their entries, in ms. */
  readonly heartbeatMs: number
  /** Rate of the network link of the VM in Mbit/s; `undefined` when it is not known. */
  readonly linkMbps: number | undefined
  /** Processor share of the process in cores; `undefined` when it is not known. */
  readonly processorCores: number | undefined
  readonly memoryMb: number
}
