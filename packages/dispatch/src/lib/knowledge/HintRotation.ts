/** Time after which an entry is repeated although it has not changed, in milliseconds. */
const REPEAT_MS = 5_000
/** Time after which an entry that was not sent again is forgotten, in milliseconds. */
const FORGET_MS = 60_000
/** Change of a logarithm from which an entry is sent again at once: 5 percent. */
const MIN_CHANGE = 0.05

/** An entry that may be sent. @internal */
export interface HintCandidate {
  readonly key: string
  /** Weight of its observations. */
  readonly runs: number
  /** Logarithm of what was learnt. */
  readonly log: number
  /** Its encoded size. */
  readonly bytes: () => number
}

interface SentHint {
  readonly at: number
  readonly runs: number
  readonly log: number
}

/**
 * Chooses the entries of each message: those that were never sent, then those that have changed
 * most since they were last sent. Entries that do not change are repeated in rotation, so that an
 * instance that joined later or lost a message gets to know them too.
 *
 * @internal
 */
export class HintRotation {
  /** Entries that were sent, the longest ago first. */
  private readonly sent = new Map<string, SentHint>()

  /** Chooses from all entries those that fit into a message of the given size. */
  choose<T extends HintCandidate>(now: number, candidates: readonly T[], maxBytes: number): T[] {
    this.forgetOld(now)
    const ranked = candidates
      .map((candidate) => ({ candidate, urgency: this.urgencyOf(now, candidate) }))
      .filter(({ urgency }) => urgency >= 1)
      .sort((a, b) => b.urgency - a.urgency)
    const chosen: T[] = []
    let bytes = 0
    for (const { candidate } of ranked) {
      bytes += candidate.bytes()
      if (bytes > maxBytes) break
      chosen.push(candidate)
      const { key, runs, log } = candidate
      this.sent.delete(key)
      this.sent.set(key, { at: now, runs, log })
    }
    return chosen
  }

  /** At least 1 if an entry is to be sent. */
  private urgencyOf(now: number, { key, runs, log }: HintCandidate): number {
    const sent = this.sent.get(key)
    if (sent === undefined) return Infinity
    // A weight that only decays is no news: the receiver lets it decay too.
    const gained = Math.max(0, Math.log((runs + 1) / (sent.runs + 1)))
    const change = Math.abs(log - sent.log) + gained
    return change / MIN_CHANGE + (now - sent.at) / REPEAT_MS
  }

  /** Forgets entries that have not been sent for long: most of them no longer exist. */
  private forgetOld(now: number): void {
    for (const [key, { at }] of this.sent) {
      if (now - at <= FORGET_MS) return
      this.sent.delete(key)
    }
  }
}
