import { Effect } from 'effect'
import type { Scope } from 'effect'
import type { Clock } from './Clock'
import { systemClock } from './Clock'
import type { Machine } from './Machine'
import { startMailbox } from './startMailbox'
import type { Mailbox } from './startMailbox'
import { TickTimer } from './TickTimer'

/** @public */
export interface PartOptions<Action> {
  /** Carries an action out; it must not throw, and it must not block. */
  readonly perform: (action: Action) => void
  /** Called after all actions that belong together were carried out. */
  readonly onStepEnd?: () => void
  /** Called when a step or an action throws: the part is dead after it. */
  readonly onDefect: (defect: unknown) => void
  /** Milliseconds between two ticks at least; the machine says when it needs the next one. */
  readonly tickMs: number
  readonly clock?: Clock
  /** Least time between two steps, see `MailboxOptions`. */
  readonly gapMs?: (tookMs: number) => number
}

/** A running state machine that is reached through its mailbox alone. @public */
export type Part<Event> = Mailbox<Event>

const TICK = Symbol('tick')

/**
 * Starts the only owner of the machine. It ends with the scope.
 *
 * @public
 */
export function startPart<Event, Action>(
  machine: Machine<Event, Action>,
  options: PartOptions<Action>,
): Effect.Effect<Part<Event>, never, Scope.Scope> {
  const { onDefect, gapMs, clock = systemClock } = options
  const perform = (actions: readonly Action[]): void => {
    for (const action of actions) options.perform(action)
  }
  /** Events that arrived together are taken in together, which may share work. */
  const take = (waiting: readonly (Event | typeof TICK)[], dueAt: number): void => {
    const events = waiting.filter((event): event is Event => event !== TICK)
    if (events.length > 0) perform(machine.stepAll(clock.now(), events))
    if (events.length < waiting.length) {
      const now = clock.now()
      ticks.noteTick(now)
      perform(machine.tick(now))
    }
    options.onStepEnd?.()
    machine.noteStep(clock.now(), performance.now() - dueAt)
    ticks.arm()
  }
  const ticks = new TickTimer({
    clock,
    tickMs: options.tickMs,
    dueAt: () => machine.tickDueAt,
    onDue: () => {
      mailbox.tell(TICK)
    },
  })
  let mailbox: Mailbox<Event | typeof TICK>
  return Effect.gen(function* () {
    mailbox = yield* startMailbox({ take, onDefect, ...(gapMs && { gapMs }) })
    yield* Effect.addFinalizer(() =>
      Effect.sync(() => {
        ticks.close()
      }),
    )
    ticks.arm()
    return mailbox
  })
}
