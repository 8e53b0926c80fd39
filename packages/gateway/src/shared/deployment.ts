/** Settings that the deployment gives a gateway process. */

export interface Address {
  readonly host: string
  readonly port: number
}

export interface Deployment {
  readonly nodeName: string
  readonly failureDomain: string
  /** Address for callers. */
  readonly callers: Address
  /** Address of the readiness check. */
  readonly readiness: Address
  /** Address of the metrics, `undefined` when none are served. */
  readonly metrics: Address | undefined
  /** Address for the other routers; `undefined` when they do not share budgets directly. */
  readonly peers: Address | undefined
  readonly store: Address
  /** Time without faults after which this router is expected to know what the store says, in ms. */
  readonly contactMs: number
  /** Longest time that an endpoint may still get requests after it began to drain, in ms. */
  readonly drainMs: number
  /** Time between SIGTERM and SIGKILL, in ms. */
  readonly graceMs: number
  /** Repeated requests that the fleet may send a service, as a share of the first ones. */
  readonly retryShare: number
  /** Repeated requests that the fleet may send a service beyond the share, in one window. */
  readonly retrySlack: number
  readonly retryWindowMs: number
  /** Share of a service's requests that a version under trial may get. */
  readonly trialShare: number
  /** Rate of the VM's network link in Mbit/s; `undefined` when it is not known. */
  readonly linkMbps: number | undefined
  /** Processor time that the process gets, in cores; `undefined` when it is not known. */
  readonly processorCores: number | undefined
  readonly memoryMb: number
  readonly fileDescriptors: number
}
