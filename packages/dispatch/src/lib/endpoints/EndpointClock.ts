interface ClockSample {
  readonly endpointMs: number
  /** Local time when the answer with this sample arrived. */
  readonly receivedAt: number
}

/**
 * Estimates an endpoint's monotonic clock from its answers. That clock may run slow, and the local
 * one may stop while the machine is suspended, so every estimate errs on the safe side.
 *
 * @internal
 */
export class EndpointClock {
  #sample: ClockSample | undefined

  constructor(private readonly drift: number) {}

  get isKnown(): boolean {
    return this.#sample !== undefined
  }

  addSample(now: number, endpointMs: number): void {
    const known = this.#sample
    if (known !== undefined && endpointMs < known.endpointMs) return
    this.#sample = { endpointMs, receivedAt: now }
  }

  /** The endpoint's time at a local time, assuming that both clocks run at the same rate. */
  at(time: number): number {
    const sample = this.#sample
    if (sample === undefined) return -Infinity
    return sample.endpointMs + (time - sample.receivedAt)
  }

  /** True if the endpoint's clock is certain to have reached the given time, allowing for drift. */
  isPast(now: number, endpointMs: number): boolean {
    const sample = this.#sample
    if (sample === undefined) return false
    const least = sample.endpointMs + (now - sample.receivedAt) * (1 - this.drift)
    return least >= endpointMs
  }
}
