import { Effect } from 'effect'
import type { Scope } from 'effect'

/** @public */
export interface MailboxOptions<Item> {
  /**
   * Takes in all items that have arrived since the last call; it must not block. It is also told
   * when it was to be called, by `performance.now()`: a busy process calls it later.
   */
  readonly take: (items: readonly Item[], dueAt: number) => void
  /** Called when `take` throws: the mailbox is dead after it. */
  readonly onDefect: (defect: unknown) => void
  /**
   * Least time between the beginnings of two calls of `take`, in milliseconds; asked at each item
   * that finds the mailbox empty, with the time that the last call took. What comes after a pause
   * is taken in at once; under load more comes together.
   */
  readonly gapMs?: (tookMs: number) => number
}

/** @public */
export interface Mailbox<Item> {
  /** Puts an item in; returns at once. */
  readonly tell: (item: Item) => void
  /** Items that wait. */
  readonly backlog: () => number
}

/**
 * Starts a mailbox whose items are taken in by one function, never while another call of it runs.
 * What arrives in one turn of the event loop is taken in together. It ends with the scope.
 *
 * A plain callback and not a fiber that waits on a queue, which costs more than most items do.
 *
 * @public
 */
export function startMailbox<Item>(
  options: MailboxOptions<Item>,
): Effect.Effect<Mailbox<Item>, never, Scope.Scope> {
  const open = Effect.sync(() => new CallbackMailbox(options))
  const close = (mailbox: CallbackMailbox<Item>) =>
    Effect.sync(() => {
      mailbox.close()
    })
  return Effect.acquireRelease(open, close)
}

class CallbackMailbox<Item> implements Mailbox<Item> {
  private waiting: Item[] = []
  private isScheduled = false
  private isClosed = false
  private takenAt = -Infinity
  private tookMs = 0
  private dueAt = -Infinity

  constructor(private readonly options: MailboxOptions<Item>) {}

  readonly tell = (item: Item): void => {
    if (this.isClosed) return
    this.waiting.push(item)
    if (this.isScheduled) return
    this.isScheduled = true
    const gapMs = this.options.gapMs?.(this.tookMs) ?? 0
    const now = performance.now()
    const waitMs = gapMs > 0 ? gapMs - (now - this.takenAt) : 0
    this.dueAt = now + Math.max(0, waitMs)
    if (waitMs <= 0) setImmediate(this.drain)
    else setTimeout(this.drain, waitMs)
  }

  readonly backlog = (): number => this.waiting.length

  close(): void {
    this.isClosed = true
    this.waiting = []
  }

  private readonly drain = (): void => {
    const items = this.waiting
    this.waiting = []
    this.isScheduled = false
    if (this.isClosed) return
    if (this.options.gapMs !== undefined) this.takenAt = performance.now()
    try {
      this.options.take(items, this.dueAt)
      if (this.options.gapMs !== undefined) this.tookMs = performance.now() - this.takenAt
    } catch (err) {
      this.close()
      this.options.onDefect(err)
    }
  }
}
