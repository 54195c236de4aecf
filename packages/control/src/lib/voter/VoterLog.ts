import type { LogEntry } from '@cherryhitch/protocol'

/** The log in memory: entries after a base, which a snapshot covers. @internal */
export class VoterLog {
  #baseIndex: number
  #baseTerm: number
  #entries: LogEntry[]

  /** @param baseIndex - -1 for a log that has no state to start from */
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

  /** Undefined for what lies before the base or after the end. */
  termAt(index: number): number | undefined {
    return index === this.#baseIndex ? this.#baseTerm : this.at(index)?.term
  }

  at(index: number): LogEntry | undefined {
    return index <= this.#baseIndex ? undefined : this.#entries[index - this.#baseIndex - 1]
  }

  /** Entries from an index on, at most `limit`. */
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

  /** Moves the base up to an index that the log holds. */
  dropThrough(index: number): void {
    const term = this.termAt(index)
    if (term === undefined) return
    this.#entries = this.slice(index + 1)
    this.#baseIndex = index
    this.#baseTerm = term
  }

  /** Starts anew behind a snapshot that the log does not reach. */
  reset(baseIndex: number, baseTerm: number): void {
    this.#entries = []
    this.#baseIndex = baseIndex
    this.#baseTerm = baseTerm
  }

  /** True when a log that ends so holds at least what this one holds. */
  isCoveredBy(lastIndex: number, lastTerm: number): boolean {
    if (lastTerm !== this.lastTerm) return lastTerm > this.lastTerm
    return lastIndex >= this.lastIndex
  }
}
