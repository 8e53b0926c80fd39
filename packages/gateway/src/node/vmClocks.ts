/** Clocks of the VM that continue over a restart of this process. */
import { performance } from 'node:perf_hooks'
import type { ClockReading } from '@buckthorndrift/policy'

const nsPerMs = 1e6

export function readVmClocks (): ClockReading {
  return { monotonicMs: Number(process.hrtime.bigint()) / nsPerMs, wallMs: Date.now() }
}

/** The clocks at the start of this process. */
export function readStartClocks (): ClockReading {
  const { monotonicMs, wallMs } = readVmClocks()
  const runtimeMs = performance.now()
  return { monotonicMs: monotonicMs - runtimeMs, wallMs: wallMs - runtimeMs }
}
