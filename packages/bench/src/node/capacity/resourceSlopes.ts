/** Measures heap and processor time of code in this process against the number of items it handles. */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { fitLine, type LinearFit } from '../../shared/linearFit.ts'

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

function heapBytes (): number {
  collectGarbage()
  return process.memoryUsage().heapUsed
}

/** Heap bytes per item in the value that `build` returns, as a line fitted over `counts`. */
export function fitHeapPerItem (counts: readonly number[], build: (count: number) => unknown): LinearFit {
  const points = counts.map(count => {
    const before = heapBytes()
    const built = build(count)
    const y = heapBytes() - before
    if (built === undefined) throw new Error('build returned undefined')
    return { x: count, y }
  })
  return fitLine(points)
}

/** Processor time of `run` in microseconds per item, as a line fitted over `counts`; each count runs `repeats` times. */
export function fitCpuPerItem (counts: readonly number[], repeats: number, run: (count: number) => void): LinearFit {
  // Warm-up, so that JIT compilation is not part of the measurement.
  for (let repeat = 0; repeat < repeats; repeat++) for (const count of counts) run(count)
  const points = counts.map(count => {
    const before = process.cpuUsage()
    for (let repeat = 0; repeat < repeats; repeat++) run(count)
    const { user, system } = process.cpuUsage(before)
    return { x: count, y: (user + system) / repeats }
  })
  return fitLine(points)
}
