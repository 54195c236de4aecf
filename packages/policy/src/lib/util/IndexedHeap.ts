/**
 * State that a heap stores in its items, so that an item can be moved or removed in O(log n).
 *
 * @internal
 */
export interface HeapItem {
  /** Sort key; the smallest comes first. */
  heapKey: number
  /** Index in the heap; -1 while the item is in no heap. */
  heapIndex: number
}

/**
 * Binary heap whose items store their index. Items with equal keys are popped in any order.
 *
 * @internal
 */
export class IndexedHeap<T extends HeapItem> {
  private readonly items: T[] = []

  get size(): number {
    return this.items.length
  }

  peek(): T | undefined {
    return this.items[0]
  }

  push(item: T): void {
    this.items.push(item)
    this.moveUp(item, this.items.length - 1)
  }

  pop(): T | undefined {
    const first = this.items[0]
    if (first !== undefined) this.remove(first)
    return first
  }

  remove(item: T): void {
    const index = item.heapIndex
    if (this.items[index] !== item) return
    item.heapIndex = -1
    const last = this.items.pop()
    if (last === undefined || last === item) return
    this.moveDown(last, this.moveUp(last, index))
  }

  /** Restores the heap order after the key of an item changed. */
  update(item: T): void {
    if (this.items[item.heapIndex] !== item) return
    this.moveDown(item, this.moveUp(item, item.heapIndex))
  }

  private moveUp(item: T, from: number): number {
    let index = from
    while (index > 0) {
      const parentIndex = (index - 1) >> 1
      const parent = this.items[parentIndex]
      if (parent === undefined || parent.heapKey <= item.heapKey) break
      this.put(parent, index)
      index = parentIndex
    }
    this.put(item, index)
    return index
  }

  private moveDown(item: T, from: number): void {
    let index = from
    for (;;) {
      const child = this.smallerChild(index)
      if (child === undefined || child.heapKey >= item.heapKey) break
      const childIndex = child.heapIndex
      this.put(child, index)
      index = childIndex
    }
    this.put(item, index)
  }

  private smallerChild(index: number): T | undefined {
    const left = this.items[2 * index + 1]
    const right = this.items[2 * index + 2]
    if (left === undefined || right === undefined) return left
    return right.heapKey < left.heapKey ? right : left
  }

  private put(item: T, index: number): void {
    this.items[index] = item
    item.heapIndex = index
  }
}
