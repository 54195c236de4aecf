import type { Clock } from './Clock'

/** @internal */
export interface TickTimerOptions {
  readonly clock: Clock
  /** Least time between two ticks, in milliseconds. */
  readonly tickMs: number
  /** When the next tick has something to do. */
  readonly dueAt: () => number
  /** A tick is due; it is over once `noteTick` was called. */
  readonly onDue: () => void
}

/**
 * Wakes a part up when time alone has something to do, and not before: at a steady pace
 * for each part an idle process wakes up hundreds of times a second for nothing.
 *
 * @internal
 */
export class TickTimer {
  #timer: NodeJS.Timeout | undefined
  /** When the timer fires; Infinity while there is none. */
  #firesAt = Infinity
  #tickedAt = -Infinity
  #isClosed = false

  constructor(private readonly options: TickTimerOptions) {}

  /** To be called after each step, since it may have changed when the next tick is due. */
  arm(): void {
    const at = this.#nextAt()
    // A timer that fires too early looks again then: that is cheaper than to set it anew.
    if (this.#isClosed || at >= this.#firesAt) return
    clearTimeout(this.#timer)
    const waitMs = Math.max(1, Math.ceil(at - this.options.clock.now()))
    this.#firesAt = at
    this.#timer = setTimeout(this.#fire, waitMs)
  }

  noteTick(now: number): void {
    this.#tickedAt = now
  }

  close(): void {
    this.#isClosed = true
    clearTimeout(this.#timer)
  }

  #nextAt(): number {
    const { dueAt, tickMs } = this.options
    return Math.max(this.#tickedAt + tickMs, dueAt())
  }

  readonly #fire = (): void => {
    this.#firesAt = Infinity
    if (this.options.clock.now() >= this.#nextAt()) this.options.onDue()
    else this.arm()
  }
}
