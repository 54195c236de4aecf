import { Mechanism } from '@cherryhitch/model'
import type { LeaderHints } from '@cherryhitch/protocol'
import { DispatchActionKind } from '../DispatchAction'
import type { DispatchCore } from '../DispatchCore'
import type { EndpointRecord } from '../endpoints/EndpointRecord'
import { decodeHints } from './decodeHints'
import { KnowledgeSender } from './KnowledgeSender'
import { KnowledgeStore } from './KnowledgeStore'
import type { LearntSamples } from './LearntSamples'

/** Least interval between two log lines about unusable hints, in milliseconds. */
const LOG_INTERVAL_MS = 1_000

/**
 * Passes what the leader has learnt to the instances that may lead next, which start from it when
 * they become leader. Hints only improve estimates: without them, a leader learns anew.
 *
 * @internal
 */
export class KnowledgeExchange {
  readonly #sender: KnowledgeSender
  readonly #store = new KnowledgeStore()
  #logDueAt = -Infinity

  constructor(private readonly core: DispatchCore) {
    this.#sender = new KnowledgeSender(core)
  }

  /** A zone dispatcher neither passes on what it learns in its zone nor takes part otherwise. */
  get #isEnabled(): boolean {
    return this.core.zone === undefined && this.core.isEnabled(Mechanism.LeaderKnowledge)
  }

  /** Called regularly while this instance leads. */
  tick(now: number): void {
    if (!this.#isEnabled) return
    const hints = this.#sender.next(now)
    if (hints === undefined) return
    this.core.emit({ kind: DispatchActionKind.BroadcastHints, hints })
  }

  /** Handles a message of another instance. */
  onHints(now: number, message: LeaderHints): void {
    if (!this.#isEnabled) return
    const { counters, term: ownTerm = -1 } = this.core
    const { term, version } = message
    const hints = decodeHints(message)
    if (hints === undefined) {
      counters.hints_dropped++
      this.#logUnusable(now, 'ignored unreadable hints', { version, term })
      return
    }
    const { runTimes, speeds, dropped } = hints
    counters.hints_dropped += dropped
    if (dropped > 0) this.#logUnusable(now, 'dropped implausible hints', { term, dropped })
    const usable = runTimes.length + speeds.length
    const outdated = term <= ownTerm ? usable : this.#store.put(now, term, hints)
    counters.hints_outdated += outdated
    counters.hints_stored += usable - outdated
  }

  /** What this instance has heard from leaders, with present ages. */
  heard(now: number): LearntSamples {
    return this.#store.all(now)
  }

  /** Merges what was heard into the estimates of this instance, which becomes leader. */
  takeOver(now: number): void {
    if (!this.#isEnabled) return
    const { core } = this
    this.#sender.beginTerm(now)
    const runTimes = this.#store.allRunTimes(now)
    const speeds = [...core.endpoints.all()].flatMap(({ id }) => this.#store.speedOf(now, id) ?? [])
    core.estimator.merge(now, runTimes)
    core.slowness.merge(
      now,
      speeds.map(({ sample }) => sample),
    )
    core.counters.hints_taken_over += runTimes.length + speeds.length
    const oldestMs = (entries: readonly { readonly ageMs: number }[]): number => {
      return Math.round(entries.reduce((oldest, { ageMs }) => Math.max(oldest, ageMs), 0))
    }
    core.log('took over what earlier leaders have learnt', {
      runTimes: runTimes.length,
      oldestRunTimeMs: oldestMs(runTimes),
      speeds: speeds.length,
      oldestSpeedMs: oldestMs(speeds),
      endpoints: core.endpoints.size,
    })
  }

  /** An endpoint became known while this instance leads. */
  onNewEndpoint(now: number, { id }: EndpointRecord): void {
    if (!this.#isEnabled) return
    const speed = this.#store.speedOf(now, id)
    if (speed === undefined) return
    this.core.slowness.merge(now, [speed.sample])
    this.core.counters.hints_taken_over++
  }

  #logUnusable(now: number, message: string, fields: Readonly<Record<string, unknown>>): void {
    if (now < this.#logDueAt) return
    this.#logDueAt = now + LOG_INTERVAL_MS
    this.core.log(message, fields)
  }
}
