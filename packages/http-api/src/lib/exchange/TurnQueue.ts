/**
 * Runs work in the order it came, for a bounded time in each turn of the event loop.
 *
 * Node accepts one new connection in a turn. Were all requests that are ready handled in the
 * turn that read them, a turn would grow with the load, and new clients would wait for
 * seconds behind those that are connected; `docs/design/http-interfaces.md` has the figures.
 *
 * @internal
 */
export class TurnQueue {
  private waiting: (() => void)[] = []
  private scheduled = false

  /**
   * @param budgetMs - no further work is begun in a turn once this has passed
   * @param now - monotonic time in milliseconds
   * @param nextTurn - calls back in the next turn of the event loop
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

  /** Work that has not begun. */
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

  /** At least one piece is run, so that the queue moves on whatever the time. */
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
