import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

/** Repetitions of each measurement; the median is what counts. */
export const REPETITIONS = 5
const BYTES_PER_KB = 1000

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

/** Lets time pass, while what is measured goes on. */
export function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}

/** The middle one of several values. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.floor(sorted.length / 2)] ?? Number.NaN
}

/** Median of several runs of a measurement. */
export function medianOf(measure: () => number): number {
  return median(Array.from({ length: REPETITIONS }, measure))
}

/** Microseconds of processor time of this process, all threads, so garbage collection too. */
export function processorUs(work: () => void): number {
  const before = process.cpuUsage()
  work()
  const { user, system } = process.cpuUsage(before)
  return user + system
}

/** Bytes of heap in use after a full collection. */
export function heapBytes(): number {
  collectGarbage()
  collectGarbage()
  const { heapUsed, arrayBuffers } = process.memoryUsage()
  return heapUsed + arrayBuffers
}

/** Bytes of heap that what `make` returns keeps alive. */
export function heldBytes(make: () => object): number {
  const before = heapBytes()
  const held = make()
  const after = heapBytes()
  // Reads the object after the second collection, so that it is alive until then.
  return Object.keys(held).length >= 0 ? after - before : 0
}

/** Slope of a line through points by least squares. */
export function slopeOf(points: readonly (readonly [x: number, y: number])[]): number {
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length
  const over = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0)
  return over / points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0)
}

/** Prints one line of a table. */
export function row(...cells: readonly (string | number)[]): void {
  console.log(`| ${cells.map(format).join(' | ')} |`)
}

/** Prints the head of a table. */
export function head(title: string, ...columns: readonly string[]): void {
  console.log(`\n${title}\n`)
  row(...columns)
  row(...columns.map(() => '---'))
}

function format(cell: string | number): string {
  if (typeof cell === 'string') return cell
  if (Math.abs(cell) >= BYTES_PER_KB) return Math.round(cell).toLocaleString('en-US')
  return Math.abs(cell) >= 100 ? cell.toFixed(0) : cell.toFixed(Math.abs(cell) >= 10 ? 1 : 2)
}
