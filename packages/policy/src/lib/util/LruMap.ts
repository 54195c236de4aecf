/** A map of limited size that evicts the least recently used entry. @internal */
export class LruMap<K, V> {
  private readonly entries = new Map<K, V>()

  constructor(private readonly limit: number) {}

  get size(): number {
    return this.entries.size
  }

  /** The values, the least recently used first; reading them is no use of them. */
  values(): IterableIterator<V> {
    return this.entries.values()
  }

  get(key: K): V | undefined {
    const value = this.entries.get(key)
    if (value === undefined) return undefined
    this.entries.delete(key)
    this.entries.set(key, value)
    return value
  }

  set(key: K, value: V): void {
    this.entries.delete(key)
    this.entries.set(key, value)
    if (this.entries.size <= this.limit) return
    const oldest = this.entries.keys().next()
    if (oldest.done !== true) this.entries.delete(oldest.value)
  }

  delete(key: K): boolean {
    return this.entries.delete(key)
  }
}
