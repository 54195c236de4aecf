/**
 * What a Node.js timer adds to the whole milliseconds it is asked for. It also drops the fraction of
 * a millisecond.
 */
const TIMER_OVERHEAD_MS = 0.3

/**
 * Waits a delay that may have a fraction. Single waits are whole milliseconds; the rounding
 * error is carried over to the next wait, so that the mean comes out right.
 *
 * @internal
 */
export class DelayTimer {
  private carryMs = 0

  /** Whole milliseconds to ask a timer for; 0 means at once. */
  round(delayMs: number): number {
    if (delayMs <= 0) return 0
    const wanted = delayMs + this.carryMs
    const whole = Math.max(0, Math.round(wanted - TIMER_OVERHEAD_MS))
    const expected = whole === 0 ? 0 : whole + TIMER_OVERHEAD_MS
    this.carryMs = wanted - expected
    return whole
  }

  /** Acts after the delay, or at once when it rounds to nothing. */
  after(delayMs: number, act: () => void): void {
    const whole = this.round(delayMs)
    if (whole === 0) act()
    else setTimeout(act, whole)
  }
}
