import type { LogEntry } from '@cherryhitch/protocol'

/**
 * The log in memory: the entries after a base index; a snapshot covers those up to it.
 *
 * @internal
 */
export class VoterLog {
  #baseIndex: number
  #baseTerm: number
  #entries: LogEntry[]

  /** @param baseIndex - index that the snapshot covers; -1 if there is no snapshot */
  constructor(baseIndex: number, baseTerm: number, entries: readonly LogEntry[]) {
    this.#baseIndex = baseIndex
    this.#baseTerm = baseTerm
    this.#entries = [...entries]
  }

  get baseIndex(): number {
    return this.#baseIndex
  }

  get lastIndex(): number {
    return this.#baseIndex + this.#entries.length
  }

  get lastTerm(): number {
    return this.#entries.at(-1)?.term ?? this.#baseTerm
  }

  /** Term of an entry; undefined before the base and after the end. */
  termAt(index: number): number | undefined {
    return index === this.#baseIndex ? this.#baseTerm : this.at(index)?.term
  }

  at(index: number): LogEntry | undefined {
    return index <= this.#baseIndex ? undefined : this.#entries[index - this.#baseIndex - 1]
  }

  /** At most `limit` entries, starting at an index. */
  slice(from: number, limit = Infinity): LogEntry[] {
    const start = from - this.#baseIndex - 1
    return this.#entries.slice(start, start + limit)
  }

  append(entries: readonly LogEntry[]): void {
    this.#entries.push(...entries)
  }

  truncateAfter(index: number): void {
    this.#entries.length = Math.max(0, index - this.#baseIndex)
  }

  /** Drops the entries up to an index in the log, which becomes the base. */
  dropThrough(index: number): void {
    const term = this.termAt(index)
    if (term === undefined) return
    this.#entries = this.slice(index + 1)
    this.#baseIndex = index
    this.#baseTerm = term
  }

  /** Empties the log, to continue after a snapshot that lies beyond its end. */
  reset(baseIndex: number, baseTerm: number): void {
    this.#entries = []
    this.#baseIndex = baseIndex
    this.#baseTerm = baseTerm
  }

  /** True if a log with the given last entry is at least as up to date as this one. */
  isOtherUpToDate(lastIndex: number, lastTerm: number): boolean {
    if (lastTerm !== this.lastTerm) return lastTerm > this.lastTerm
    return lastIndex >= this.lastIndex
  }
}
