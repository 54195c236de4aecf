interface ScheduledEvent {
  readonly dueAt: number
  /** Decides between events that are due at the same instant; the lowest comes first. */
  readonly rank: number
  readonly callback: () => void
}

/** Order of events that are due at the same instant, by when they were scheduled. @public */
export enum TieOrder {
  Fifo = 'first_asked',
  Lifo = 'last_asked',
}

/** @public */
export interface EventSchedulerOptions {
  /** Initial time of the clock, in milliseconds. */
  readonly startMs?: number
  readonly tieOrder?: TieOrder
}

/** @public */
export const defaultEventSchedulerOptions: Required<EventSchedulerOptions> = {
  startMs: 1_000_000,
  tieOrder: TieOrder.Fifo,
}

/** Virtual clock and event queue of a simulated run. @public */
export class EventScheduler {
  private time: number
  private readonly heap: ScheduledEvent[] = []
  /** Rank of the latest event. Ranks ascend, or descend if the latest event is to run first. */
  private lastRank = 0
  private readonly rankStep: number

  constructor(options: EventSchedulerOptions = {}) {
    const { startMs, tieOrder } = { ...defaultEventSchedulerOptions, ...options }
    this.time = startMs
    this.rankStep = tieOrder === TieOrder.Fifo ? 1 : -1
  }

  get now(): number {
    return this.time
  }

  /** Schedules a callback for `ms` milliseconds from the current virtual time. */
  after(ms: number, callback: () => void): void {
    this.lastRank += this.rankStep
    this.push({ dueAt: this.time + ms, rank: this.lastRank, callback })
  }

  /** Advances the time by `ms`, running the events that become due on the way. */
  run(ms: number): void {
    this.runUntil(this.time + ms)
  }

  /** Advances the time to `end`, running the events that become due on the way. */
  runUntil(end: number): void {
    for (let next = this.heap[0]; next !== undefined && next.dueAt <= end; next = this.heap[0]) {
      this.pop()
      this.time = next.dueAt
      next.callback()
    }
    this.time = end
  }

  private push(event: ScheduledEvent): void {
    let index = this.heap.push(event) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!this.isBefore(index, parent)) return
      this.swap(index, parent)
      index = parent
    }
  }

  private pop(): void {
    this.swap(0, this.heap.length - 1)
    this.heap.pop()
    let index = 0
    for (;;) {
      const left = 2 * index + 1
      const smaller = this.isBefore(left + 1, left) ? left + 1 : left
      if (!this.isBefore(smaller, index)) return
      this.swap(index, smaller)
      index = smaller
    }
  }

  private isBefore(first: number, second: number): boolean {
    const a = this.heap[first]
    const b = this.heap[second]
    if (a === undefined || b === undefined) return false
    return a.dueAt < b.dueAt || (a.dueAt === b.dueAt && a.rank < b.rank)
  }

  private swap(first: number, second: number): void {
    const a = this.heap[first]
    const b = this.heap[second]
    if (a === undefined || b === undefined) return
    this.heap[first] = b
    this.heap[second] = a
  }
}
