/** A sum of amounts that decay exponentially with their age. @internal */
export class DecayedSum {
  private value = 0
  private at = 0

  /** @param tauMs - age at which an amount has decayed to 1/e, in milliseconds */
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
