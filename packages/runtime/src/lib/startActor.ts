import { Effect } from 'effect'
import type { Scope } from 'effect'
import type { Clock } from './Clock'
import { systemClock } from './Clock'
import type { StateMachine } from './StateMachine'
import { startMailbox } from './startMailbox'
import type { Mailbox } from './startMailbox'
import { TickTimer } from './TickTimer'

/** @public */
export interface ActorOptions<Action> {
  /** Performs an action. Must not throw or block. */
  readonly perform: (action: Action) => void
  /** Called after all actions of a step have been performed. */
  readonly onStepEnd?: () => void
  /** Called when a step or an action throws. The actor handles no more events then. */
  readonly onDefect: (defect: unknown) => void
  /** Minimum interval between two ticks, in milliseconds; see `StateMachine.tickDueAt`. */
  readonly tickMs: number
  readonly clock?: Clock
  /** Minimum interval between the starts of two steps; see `MailboxOptions`. */
  readonly gapMs?: (lastDurationMs: number) => number
}

/** A running state machine that is accessible only through its mailbox. @public */
export type Actor<Event> = Mailbox<Event>

const TICK = Symbol('tick')

/**
 * Starts an actor that becomes the sole owner of the machine. It stops when the scope ends.
 *
 * @public
 */
export function startActor<Event, Action>(
  machine: StateMachine<Event, Action>,
  options: ActorOptions<Action>,
): Effect.Effect<Actor<Event>, never, Scope.Scope> {
  const { onDefect, gapMs, clock = systemClock } = options
  const perform = (actions: readonly Action[]): void => {
    for (const action of actions) options.perform(action)
  }
  /** Handles events that arrived together in one call, so that the machine can share work. */
  const handleBatch = (batch: readonly (Event | typeof TICK)[], dueAt: number): void => {
    const events = batch.filter((event): event is Event => event !== TICK)
    if (events.length > 0) perform(machine.stepAll(clock.now(), events))
    if (events.length < batch.length) {
      const now = clock.now()
      tickTimer.recordTick(now)
      perform(machine.tick(now))
    }
    options.onStepEnd?.()
    machine.recordStep(clock.now(), performance.now() - dueAt)
    tickTimer.arm()
  }
  const tickTimer = new TickTimer({
    clock,
    tickMs: options.tickMs,
    dueAt: () => machine.tickDueAt,
    onDue: () => {
      mailbox.tell(TICK)
    },
  })
  let mailbox: Mailbox<Event | typeof TICK>
  return Effect.gen(function* () {
    mailbox = yield* startMailbox({ handleBatch, onDefect, ...(gapMs && { gapMs }) })
    yield* Effect.addFinalizer(() =>
      Effect.sync(() => {
        tickTimer.close()
      }),
    )
    tickTimer.arm()
    return mailbox
  })
}
