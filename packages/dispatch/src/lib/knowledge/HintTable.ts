import { MAX_HINT_AGE_MS } from './plausibleSamples'

/** A hint as an instance remembers it. @internal */
export interface StoredHint<T> {
  /** Term of the leader that sent it. */
  readonly term: number
  /** When it was learnt, by the local clock. */
  readonly learntAt: number
  readonly sample: T
}

/**
 * The latest hint for each key. The term decides between leaders: what an earlier one says late
 * never replaces what a later one has said.
 *
 * @internal
 */
export class HintTable<T> {
  private readonly hints = new Map<string, StoredHint<T>>()

  /** @param maxEntries - the entries that were changed least recently are removed beyond it */
  constructor(private readonly maxEntries: number) {}

  /** Stores a hint; false if a later one is known. */
  put(now: number, key: string, hint: StoredHint<T>): boolean {
    const known = this.get(now, key)
    if (known !== undefined && isLater(known, hint)) return false
    this.hints.delete(key)
    this.hints.set(key, hint)
    if (this.hints.size > this.maxEntries) this.removeOldest()
    return true
  }

  get(now: number, key: string): StoredHint<T> | undefined {
    const hint = this.hints.get(key)
    return hint !== undefined && now - hint.learntAt <= MAX_HINT_AGE_MS ? hint : undefined
  }

  /** All hints that may still be used. */
  all(now: number): StoredHint<T>[] {
    return [...this.hints.values()].filter(({ learntAt }) => now - learntAt <= MAX_HINT_AGE_MS)
  }

  private removeOldest(): void {
    const oldest = this.hints.keys().next()
    if (oldest.done !== true) this.hints.delete(oldest.value)
  }
}

function isLater<T>(known: StoredHint<T>, hint: StoredHint<T>): boolean {
  return known.term === hint.term ? known.learntAt > hint.learntAt : known.term > hint.term
}
