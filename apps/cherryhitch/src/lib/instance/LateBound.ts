/**
 * A reference that is bound once its target has started. It breaks the cycle between the parts of
 * an instance, which depend on one another but start one after the other.
 *
 * @internal
 */
export class LateBound<T> {
  private value: T | undefined

  bind(value: T): void {
    this.value = value
  }

  /** Calls the action if the reference is bound; does nothing otherwise. */
  use(action: (value: T) => void): void {
    if (this.value !== undefined) action(this.value)
  }
}
