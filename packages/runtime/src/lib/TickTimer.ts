import type { Clock } from './Clock'

/** @internal */
export interface TickTimerOptions {
  readonly clock: Clock
  /** Minimum interval between two ticks, in milliseconds. */
  readonly tickMs: number
  /** Time from which the next tick has work to do, in milliseconds. */
  readonly dueAt: () => number
  /** Called when a tick is due; the receiver calls `recordTick` once it runs the tick. */
  readonly onDue: () => void
}

/**
 * Schedules the ticks of an actor for when they have work to do. With a fixed interval for each
 * actor, an idle process would wake up hundreds of times per second for nothing.
 *
 * @internal
 */
export class TickTimer {
  #timer: NodeJS.Timeout | undefined
  /** When the timer fires; Infinity while no timer is set. */
  #firesAt = Infinity
  #lastTickAt = -Infinity
  #isClosed = false

  constructor(private readonly options: TickTimerOptions) {}

  /** Call after each step, which may have changed when the next tick is due. */
  arm(): void {
    const at = this.#nextTickAt()
    // A timer that fires too early is armed again then, which is cheaper than replacing it now.
    if (this.#isClosed || at >= this.#firesAt) return
    clearTimeout(this.#timer)
    const waitMs = Math.max(1, Math.ceil(at - this.options.clock.now()))
    this.#firesAt = at
    this.#timer = setTimeout(this.#fire, waitMs)
  }

  recordTick(now: number): void {
    this.#lastTickAt = now
  }

  close(): void {
    this.#isClosed = true
    clearTimeout(this.#timer)
  }

  #nextTickAt(): number {
    const { dueAt, tickMs } = this.options
    return Math.max(this.#lastTickAt + tickMs, dueAt())
  }

  readonly #fire = (): void => {
    this.#firesAt = Infinity
    if (this.options.clock.now() >= this.#nextTickAt()) this.options.onDue()
    else this.arm()
  }
}
