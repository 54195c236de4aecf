interface Due {
  readonly at: number
  readonly order: number
  readonly act: () => void
}

/** What comes first of what is due at the same instant. @public */
export enum TieOrder {
  FirstAsked = 'first_asked',
  LastAsked = 'last_asked',
}

/** @public */
export interface AgendaOptions {
  /** Where the clock begins, in milliseconds. */
  readonly startMs?: number
  readonly ties?: TieOrder
}

/** @public */
export const defaultAgendaOptions: Required<AgendaOptions> = {
  startMs: 1_000_000,
  ties: TieOrder.FirstAsked,
}

/** A clock of a simulated run, and what is to happen by it. @public */
export class Agenda {
  private time: number
  private readonly heap: Due[] = []
  /** Rises with each thing asked for, or falls where the last one is to come first. */
  private order = 0
  private readonly orderStep: number

  constructor(options: AgendaOptions = {}) {
    const { startMs, ties } = { ...defaultAgendaOptions, ...options }
    this.time = startMs
    this.orderStep = ties === TieOrder.FirstAsked ? 1 : -1
  }

  get now(): number {
    return this.time
  }

  after(ms: number, act: () => void): void {
    this.order += this.orderStep
    this.push({ at: this.time + ms, order: this.order, act })
  }

  /** Lets time pass, and does what is due on the way. */
  run(ms: number): void {
    this.runUntil(this.time + ms)
  }

  /** The same, up to an instant. */
  runUntil(end: number): void {
    for (let due = this.heap[0]; due !== undefined && due.at <= end; due = this.heap[0]) {
      this.pop()
      this.time = due.at
      due.act()
    }
    this.time = end
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
