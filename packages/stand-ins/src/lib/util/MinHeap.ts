/** A binary heap whose smallest item is taken first. @internal */
export class MinHeap<T> {
  private readonly items: T[] = []

  /** @param compare - negative when the first goes before the second */
  constructor(private readonly compare: (a: T, b: T) => number) {}

  get size(): number {
    return this.items.length
  }

  push(item: T): void {
    let at = this.items.length
    this.items.push(item)
    while (at > 0) {
      const parent = (at - 1) >> 1
      if (!this.goesBefore(at, parent)) return
      this.swap(at, parent)
      at = parent
    }
  }

  pop(): T | undefined {
    const [top] = this.items
    const last = this.items.pop()
    if (last === undefined || this.items.length === 0) return top
    this.items[0] = last
    this.sink()
    return top
  }

  private sink(): void {
    let at = 0
    for (;;) {
      let first = at
      for (const child of [2 * at + 1, 2 * at + 2]) {
        if (child < this.items.length && this.goesBefore(child, first)) first = child
      }
      if (first === at) return
      this.swap(at, first)
      at = first
    }
  }

  private goesBefore(a: number, b: number): boolean {
    return this.compare(this.items[a] as T, this.items[b] as T) < 0
  }

  private swap(a: number, b: number): void {
    const item = this.items[a] as T
    this.items[a] = this.items[b] as T
    this.items[b] = item
  }
}
