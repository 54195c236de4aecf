import type { LeaderHints } from '@cherryhitch/protocol'
import type { DispatchAction } from '../DispatchAction'
import { DispatchEventKind } from '../DispatchEvent'
import type { DispatchEvent } from '../DispatchEvent'
import { DispatchMachine } from '../DispatchMachine'
import type { DispatchOptions } from '../DispatchOptions'

/** @internal */
export interface HintCheckOptions {
  /** Takes each hint as one of the latest term heard, as an instance must not. */
  readonly ignoresTerms: boolean
  readonly report: (violation: string) => void
}

interface HeardEntry {
  /** Identifies the values of the entry. */
  readonly values: string
  /** Term of the leader that sent them. */
  readonly term: number
}

/**
 * A dispatcher that checks that what a leader of an earlier term says late never replaces what one
 * of a later term has said.
 *
 * @internal
 */
export class HintCheckedMachine extends DispatchMachine {
  private heard = new Map<string, HeardEntry>()
  private latestTerm = 0

  constructor(
    options: DispatchOptions,
    private readonly checks: HintCheckOptions,
  ) {
    super(options)
  }

  override step(now: number, event: DispatchEvent): readonly DispatchAction[] {
    if (event.kind !== DispatchEventKind.LeaderHints) return super.step(now, event)
    const { hints } = event
    const actions = super.step(now, { ...event, hints: this.alter(hints) })
    this.check(now, hints)
    return actions
  }

  private alter(hints: LeaderHints): LeaderHints {
    this.latestTerm = Math.max(this.latestTerm, hints.term)
    return this.checks.ignoresTerms ? { ...hints, term: this.latestTerm } : hints
  }

  private check(now: number, { term }: LeaderHints): void {
    for (const [key, values] of entriesOf(this, now)) {
      const known = this.heard.get(key)
      if (known?.values === values) continue
      if (known !== undefined && known.term > term) {
        this.checks.report(`the hint on ${key} of term ${known.term} was replaced by term ${term}`)
      }
      this.heard.set(key, { values, term })
    }
  }
}

/** What an instance has heard: the values of each entry, without their ages. */
function entriesOf(machine: DispatchMachine, now: number): [string, string][] {
  const { runTimes, speeds } = machine.heardHints(now)
  return [
    ...runTimes.map(({ ageMs: _, ...sample }): [string, string] => {
      return [`run times of ${sample.caller ?? 'all'}/${sample.service}`, JSON.stringify(sample)]
    }),
    ...speeds.map((sample): [string, string] => [sample.endpoint, JSON.stringify(sample)]),
  ]
}
