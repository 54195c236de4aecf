/** Placements that follow within this time of an entry's first one are merged into the entry. */
const MERGE_MS = 4

interface Entry {
  readonly at: number
  count: number
}

/**
 * Counts the tasks placed with one owner for one service that are too recent to be included in the
 * owner's last summary.
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

  /** Removes one task placed at `placedAt`. It has ended, so the next summary won't include it. */
  removeOne(placedAt: number): void {
    for (let i = this.entries.length - 1; i >= 0; i--) {
      const entry = this.entries[i]
      if (entry === undefined || entry.at > placedAt) continue
      // The task's own entry may have been discarded because a summary includes it. An older entry
      // counts other tasks and must not be reduced.
      if (placedAt - entry.at >= MERGE_MS || entry.count === 0) return
      entry.count--
      this.count--
      return
    }
  }

  /** Discards the tasks placed before `cutoff`, which a new summary includes. */
  discardBefore(cutoff: number): void {
    const kept = this.entries.findIndex((entry) => entry.at >= cutoff)
    const dropped = kept < 0 ? this.entries.splice(0) : this.entries.splice(0, kept)
    for (const entry of dropped) this.count -= entry.count
  }
}
