import { performance, PerformanceObserver } from 'node:perf_hooks'

/** What a process has used since its start. @public */
export interface ProcessUse {
  /** Processor time of all its threads, in milliseconds. */
  readonly processorMs: number
  /** Time spent collecting garbage, in milliseconds. */
  readonly garbageMs: number
  /** Collections of garbage. */
  readonly collections: number
  /** Turns of the event loop: about as many as the process was woken up. */
  readonly turns: number
  /** Heap in use, in megabytes. */
  readonly heapMb: number
}

const US_PER_MS = 1_000
const BYTES_PER_MB = 2 ** 20

/** Reads what this process uses. It observes collections from its construction on. @public */
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
