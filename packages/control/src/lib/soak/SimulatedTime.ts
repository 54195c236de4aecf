interface Timed {
  readonly at: number
  readonly run: () => void
}

/** The clock of a run, and what is to happen by it. @internal */
export class SimulatedTime {
  /** Latest first, so that the next one is taken from the end. */
  readonly #queue: Timed[] = []

  constructor(public now: number) {}

  /** Of what is due at the same instant, the last one asked for runs first. */
  after(ms: number, run: () => void): void {
    const timed = { at: this.now + ms, run }
    let low = 0
    let high = this.#queue.length
    while (low < high) {
      const middle = (low + high) >> 1
      const other = this.#queue[middle]
      if (other !== undefined && other.at >= timed.at) low = middle + 1
      else high = middle
    }
    this.#queue.splice(low, 0, timed)
  }

  /** Lets time pass. */
  run(ms: number): void {
    const end = this.now + ms
    for (;;) {
      const next = this.#takeNext(end)
      if (next === undefined) break
      this.now = next.at
      next.run()
    }
    this.now = end
  }

  #takeNext(end: number): Timed | undefined {
    const next = this.#queue.at(-1)
    return next !== undefined && next.at <= end ? this.#queue.pop() : undefined
  }
}
