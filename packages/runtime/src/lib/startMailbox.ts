import { Effect } from 'effect'
import type { Scope } from 'effect'

/** @public */
export interface MailboxOptions<Item> {
  /**
   * Handles all items that have arrived since the last call. Must not block.
   *
   * @param dueAt - when the call was due, in the time of `performance.now()`; a busy process makes
   *   the call later
   */
  readonly handleBatch: (items: readonly Item[], dueAt: number) => void
  /** Called when `handleBatch` throws. The mailbox is closed then. */
  readonly onDefect: (defect: unknown) => void
  /**
   * Minimum interval between the starts of two calls of `handleBatch`, in milliseconds. Evaluated
   * for each item that arrives at an empty mailbox, with the duration of the last call. An item
   * that arrives after a pause is handled at once; under load, batches grow.
   */
  readonly gapMs?: (lastDurationMs: number) => number
}

/** @public */
export interface Mailbox<Item> {
  /** Enqueues an item and returns immediately. */
  readonly tell: (item: Item) => void
  /** Number of queued items. */
  readonly backlog: () => number
}

/**
 * Starts a mailbox whose items are handled by one function, in calls that never overlap. Items that
 * arrive in the same turn of the event loop are handled in one batch. The mailbox is closed when the
 * scope ends.
 *
 * The handler is a plain callback because a fiber that waits on a queue costs more than handling
 * most items does.
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
  private lastBatchAt = -Infinity
  private lastDurationMs = 0
  private dueAt = -Infinity

  constructor(private readonly options: MailboxOptions<Item>) {}

  readonly tell = (item: Item): void => {
    if (this.isClosed) return
    this.waiting.push(item)
    if (this.isScheduled) return
    this.isScheduled = true
    const gapMs = this.options.gapMs?.(this.lastDurationMs) ?? 0
    const now = performance.now()
    const waitMs = gapMs > 0 ? gapMs - (now - this.lastBatchAt) : 0
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
    if (this.options.gapMs !== undefined) this.lastBatchAt = performance.now()
    try {
      this.options.handleBatch(items, this.dueAt)
      if (this.options.gapMs !== undefined)
        this.lastDurationMs = performance.now() - this.lastBatchAt
    } catch (err) {
      this.close()
      this.options.onDefect(err)
    }
  }
}
