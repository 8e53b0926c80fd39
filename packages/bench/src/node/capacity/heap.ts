/** Heap and processor time of code in this process. */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { fitLine, type LinearFit } from '../../shared/linearFit.ts'

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

function heapBytes (): number {
  collectGarbage()
  return process.memoryUsage().heapUsed
}

/** Bytes of heap per item of what `build` returns, fitted over the given counts. */
export function heapPerItem (counts: readonly number[], build: (count: number) => unknown): LinearFit {
  const points = counts.map(count => {
    const before = heapBytes()
    const built = build(count)
    const y = heapBytes() - before
    if (built === undefined) throw new Error('nothing was built')
    return { x: count, y }
  })
  return fitLine(points)
}

/** Processor time in microseconds per item, fitted over the given counts; each count is repeated for `repeats`. */
export function cpuPerItem (counts: readonly number[], repeats: number, run: (count: number) => void): LinearFit {
  // The compiler changes the code while it runs; the first rounds would count that.
  for (let repeat = 0; repeat < repeats; repeat++) for (const count of counts) run(count)
  const points = counts.map(count => {
    const before = process.cpuUsage()
    for (let repeat = 0; repeat < repeats; repeat++) run(count)
    const { user, system } = process.cpuUsage(before)
    return { x: count, y: (user + system) / repeats }
  })
  return fitLine(points)
}
