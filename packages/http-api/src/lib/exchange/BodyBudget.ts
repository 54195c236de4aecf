/** Limits the total bytes of request bodies in memory at one time. @internal */
export class BodyBudget {
  private reserved = 0

  constructor(private readonly limit: number) {}

  /** Reserves bytes; returns false and reserves nothing when the limit would be exceeded. */
  reserve(bytes: number): boolean {
    if (this.reserved + bytes > this.limit) return false
    this.reserved += bytes
    return true
  }

  release(bytes: number): void {
    this.reserved -= bytes
  }

  reservedBytes(): number {
    return this.reserved
  }
}
