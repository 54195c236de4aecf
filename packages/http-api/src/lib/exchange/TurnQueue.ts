/**
 * Runs work in FIFO order, for a bounded time in each turn of the event loop.
 *
 * Node accepts one new connection per turn. If all ready requests were handled in the turn that
 * read them, turns would lengthen with load, and new clients would wait seconds behind connected
 * ones; `docs/design/http-interfaces.md` has the figures.
 *
 * @internal
 */
export class TurnQueue {
  private waiting: (() => void)[] = []
  private scheduled = false

  /**
   * @param budgetMs - time in a turn after which no further work is started
   * @param now - monotonic time in milliseconds
   * @param nextTurn - schedules a callback for the next turn of the event loop
   */
  constructor(
    private readonly budgetMs: number,
    private readonly now: () => number,
    private readonly nextTurn: (callback: () => void) => void,
  ) {}

  add(work: () => void): void {
    this.waiting.push(work)
    this.schedule()
  }

  /** Number of work items that have not started. */
  size(): number {
    return this.waiting.length
  }

  private schedule(): void {
    if (this.scheduled || this.waiting.length === 0) return
    this.scheduled = true
    this.nextTurn(() => {
      this.scheduled = false
      this.runTurn()
    })
  }

  /** Runs at least one work item, so that the queue always makes progress. */
  private runTurn(): void {
    const until = this.now() + this.budgetMs
    let done = 0
    try {
      do {
        const work = this.waiting[done]
        done += 1
        work?.()
      } while (done < this.waiting.length && this.now() < until)
    } finally {
      this.waiting = this.waiting.slice(done)
      this.schedule()
    }
  }
}
