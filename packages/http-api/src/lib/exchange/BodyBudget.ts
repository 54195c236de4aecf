/** Bounds the bytes of request bodies that are in memory at the same time. @internal */
export class BodyBudget {
  private held = 0

  constructor(private readonly limit: number) {}

  /** Takes bytes; false when there are not that many left, and then takes none. */
  take(bytes: number): boolean {
    if (this.held + bytes > this.limit) return false
    this.held += bytes
    return true
  }

  giveBack(bytes: number): void {
    this.held -= bytes
  }

  heldBytes(): number {
    return this.held
  }
}
