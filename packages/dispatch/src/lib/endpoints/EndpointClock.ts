interface ClockSample {
  readonly endpointMs: number
  /** Our time when the answer with it arrived. */
  readonly receivedAt: number
}

/**
 * An endpoint's own clock, as seen from here. Its steady clock may be slow, and ours may stand
 * still while the machine is suspended, so every estimate errs on the safe side.
 *
 * @internal
 */
export class EndpointClock {
  #sample: ClockSample | undefined

  constructor(private readonly drift: number) {}

  get isKnown(): boolean {
    return this.#sample !== undefined
  }

  note(now: number, endpointMs: number): void {
    const known = this.#sample
    if (known !== undefined && endpointMs < known.endpointMs) return
    this.#sample = { endpointMs, receivedAt: now }
  }

  /** The endpoint's time at one of ours, as if both ran alike. */
  at(time: number): number {
    const sample = this.#sample
    if (sample === undefined) return -Infinity
    return sample.endpointMs + (time - sample.receivedAt)
  }

  /** True when the endpoint's clock surely shows at least this. */
  isPast(now: number, endpointMs: number): boolean {
    const sample = this.#sample
    if (sample === undefined) return false
    const least = sample.endpointMs + (now - sample.receivedAt) * (1 - this.drift)
    return least >= endpointMs
  }
}
