import { performance, PerformanceObserver } from 'node:perf_hooks'

/** Resource usage of a process since its start. @public */
export interface ProcessUse {
  /** CPU time of all threads, in milliseconds. */
  readonly processorMs: number
  /** Time spent in garbage collection, in milliseconds. */
  readonly garbageMs: number
  /** Number of garbage collections. */
  readonly collections: number
  /** Iterations of the event loop, about the number of times that the process was woken up. */
  readonly turns: number
  /** Heap in use, in megabytes. */
  readonly heapMb: number
}

const US_PER_MS = 1_000
const BYTES_PER_MB = 2 ** 20

/**
 * Reads the resource usage of this process. Garbage collections are counted from construction on.
 *
 * @public
 */
export class ProcessUseReader {
  #garbageMs = 0
  #collections = 0
  readonly #observer = new PerformanceObserver((list) => {
    for (const { duration } of list.getEntries()) {
      this.#garbageMs += duration
      this.#collections += 1
    }
  })

  constructor() {
    this.#observer.observe({ entryTypes: ['gc'] })
  }

  read(): ProcessUse {
    const { user, system } = process.cpuUsage()
    return {
      processorMs: (user + system) / US_PER_MS,
      garbageMs: this.#garbageMs,
      collections: this.#collections,
      turns: performance.nodeTiming.uvMetricsInfo.loopCount,
      heapMb: process.memoryUsage().heapUsed / BYTES_PER_MB,
    }
  }

  close(): void {
    this.#observer.disconnect()
  }
}
