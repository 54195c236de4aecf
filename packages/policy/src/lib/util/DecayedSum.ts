/** A sum whose parts fade exponentially with their age. @internal */
export class DecayedSum {
  private value = 0
  private at = 0

  /** @param tauMs - age at which a part counts 1/e */
  constructor(private readonly tauMs: number) {}

  add(now: number, amount: number): void {
    this.value = this.read(now) + amount
    this.at = Math.max(this.at, now)
  }

  read(now: number): number {
    if (this.value === 0) return 0
    return this.value * Math.exp(-Math.max(0, now - this.at) / this.tauMs)
  }
}
