/** A map that drops its oldest entries beyond a limit. @internal */
export class BoundedMap<K, V> {
  private readonly entries = new Map<K, V>()

  constructor(private readonly limit: number) {}

  get(key: K): V | undefined {
    return this.entries.get(key)
  }

  /** Writing a key again makes it the newest. */
  set(key: K, value: V): void {
    this.entries.delete(key)
    this.entries.set(key, value)
    if (this.entries.size <= this.limit) return
    for (const oldest of this.entries.keys()) {
      this.entries.delete(oldest)
      return
    }
  }
}
