/** Placements closer together than this are counted as one. */
const MERGE_MS = 4

interface Entry {
  readonly at: number
  count: number
}

/**
 * Counts the tasks placed with one owner for one service that its last summary can't hold yet.
 *
 * @internal
 */
export class UnreportedTasks {
  private entries: Entry[] = []

  count = 0

  add(now: number, tasks: number): void {
    this.count += tasks
    const last = this.entries.at(-1)
    if (last !== undefined && now - last.at < MERGE_MS) last.count += tasks
    else this.entries.push({ at: now, count: tasks })
  }

  /** A task placed at `placedAt` ended: the next summary will not hold it. */
  removeOne(placedAt: number): void {
    for (let i = this.entries.length - 1; i >= 0; i--) {
      const entry = this.entries[i]
      if (entry === undefined || entry.at > placedAt) continue
      // An entry may have been included in a summary and dropped; an older one stands for others.
      if (placedAt - entry.at >= MERGE_MS || entry.count === 0) return
      entry.count--
      this.count--
      return
    }
  }

  /** A summary came that holds what was placed before `cutoff`. */
  discardBefore(cutoff: number): void {
    const kept = this.entries.findIndex((entry) => entry.at >= cutoff)
    const dropped = kept < 0 ? this.entries.splice(0) : this.entries.splice(0, kept)
    for (const entry of dropped) this.count -= entry.count
  }
}
