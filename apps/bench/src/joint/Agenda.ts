interface Due {
  readonly at: number
  readonly order: number
  readonly act: () => void
}

/** What is to happen at which instant of a run's own clock; equal instants keep their order. */
export class Agenda {
  now = 1_000_000
  private readonly heap: Due[] = []
  private order = 0

  after(ms: number, act: () => void): void {
    this.push({ at: this.now + ms, order: this.order++, act })
  }

  /** Lets time pass, and does what is due on the way. */
  run(ms: number): void {
    const end = this.now + ms
    for (let due = this.heap[0]; due !== undefined && due.at <= end; due = this.heap[0]) {
      this.pop()
      this.now = due.at
      due.act()
    }
    this.now = end
  }

  private push(due: Due): void {
    let at = this.heap.push(due) - 1
    while (at > 0) {
      const parent = (at - 1) >> 1
      if (!this.isBefore(at, parent)) return
      this.swap(at, parent)
      at = parent
    }
  }

  private pop(): void {
    this.swap(0, this.heap.length - 1)
    this.heap.pop()
    let at = 0
    for (;;) {
      const left = 2 * at + 1
      const smaller = this.isBefore(left + 1, left) ? left + 1 : left
      if (!this.isBefore(smaller, at)) return
      this.swap(at, smaller)
      at = smaller
    }
  }

  private isBefore(first: number, second: number): boolean {
    const a = this.heap[first]
    const b = this.heap[second]
    if (a === undefined || b === undefined) return false
    return a.at < b.at || (a.at === b.at && a.order < b.order)
  }

  private swap(first: number, second: number): void {
    const a = this.heap[first]
    const b = this.heap[second]
    if (a === undefined || b === undefined) return
    this.heap[first] = b
    this.heap[second] = a
  }
}
