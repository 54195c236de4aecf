interface ClockSample {
  readonly endpointMs: number
  /** Local time when the answer with this sample arrived. */
  readonly receivedAt: number
}

/**
 * Estimates an endpoint's monotonic clock from its answers. That clock may run slow, and the local
 * one may stop while the machine is suspended, so every estimate errs on the safe side.
 *
 * What is known of an endpoint's time at an event, such as the last confirmation of this leader, has
 * to come from a sample that was received before it. A sample that was received after a suspension
 * would show the event to be later than it was, by the length of the suspension.
 *
 * @internal
 */
export class EndpointClock {
  #sample: ClockSample | undefined
  /** The sample for events, which was received before the last one that was asked about. */
  #eventSample: ClockSample | undefined
  /** The next one, which counts for events after it was received. */
  #nextEventSample: ClockSample | undefined

  constructor(private readonly drift: number) {}

  get isKnown(): boolean {
    return this.#sample !== undefined
  }

  addSample(now: number, endpointMs: number): void {
    const known = this.#sample
    if (known !== undefined && endpointMs < known.endpointMs) return
    this.#sample = { endpointMs, receivedAt: now }
    this.#eventSample ??= this.#sample
    this.#nextEventSample ??= this.#sample
  }

  /** The endpoint's time at a local time, assuming that both clocks run at the same rate. */
  at(time: number): number {
    return timeAt(this.#sample, time)
  }

  /**
   * The endpoint's time some milliseconds after an event, or earlier.
   *
   * @param eventAt - local time of the event; it must not decrease from call to call, unless to
   *   -Infinity
   */
  after(eventAt: number, ms: number): number {
    return timeAt(this.#sampleFor(eventAt), eventAt + ms)
  }

  /** True if the endpoint's clock had certainly reached a time at an event; see `after`. */
  hadPassed(eventAt: number, endpointMs: number): boolean {
    const sample = this.#sampleFor(eventAt)
    if (sample === undefined) return false
    const least = sample.endpointMs + (eventAt - sample.receivedAt) * (1 - this.drift)
    return least >= endpointMs
  }

  #sampleFor(eventAt: number): ClockSample | undefined {
    const latest = this.#sample
    if (latest === undefined) return undefined
    if (latest.receivedAt <= eventAt) {
      this.#eventSample = latest
      this.#nextEventSample = undefined
    } else if (this.#nextEventSample !== undefined && this.#nextEventSample.receivedAt <= eventAt) {
      this.#eventSample = this.#nextEventSample
      this.#nextEventSample = latest
    }
    return this.#eventSample
  }
}

function timeAt(sample: ClockSample | undefined, time: number): number {
  return sample === undefined ? -Infinity : sample.endpointMs + (time - sample.receivedAt)
}
