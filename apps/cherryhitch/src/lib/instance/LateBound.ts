/**
 * A reference that is set once the thing it names has started. The parts of an instance need one
 * another, and one of them has to start first.
 *
 * @internal
 */
export class LateBound<T> {
  private value: T | undefined

  bind(value: T): void {
    this.value = value
  }

  /** Calls back when the reference is set, and does nothing before. */
  use(action: (value: T) => void): void {
    if (this.value !== undefined) action(this.value)
  }
}
