import { Effect, Queue } from 'effect'
import type { Scope } from 'effect'
import type { Clock } from './Clock'
import { systemClock } from './Clock'
import type { Machine } from './Machine'
import { startTimer } from './startTimer'

/** @public */
export interface PartOptions<Action> {
  /** Carries an action out; it must not throw, and it must not block. */
  readonly perform: (action: Action) => void
  /** Called when a step or an action throws: the part is dead after it. */
  readonly onDefect: (defect: unknown) => void
  /** Milliseconds between two ticks. */
  readonly tickMs: number
  readonly clock?: Clock
}

/** A running state machine that is reached through its mailbox alone. @public */
export interface Part<Event> {
  /** Puts an event into the mailbox; returns at once. */
  readonly tell: (event: Event) => void
  /** Events that wait in the mailbox. */
  readonly backlog: () => number
}

const TICK = Symbol('tick')

/**
 * Starts a fiber that owns the machine. It ends with the scope.
 *
 * @public
 */
export function startPart<Event, Action>(
  machine: Machine<Event, Action>,
  options: PartOptions<Action>,
): Effect.Effect<Part<Event>, never, Scope.Scope> {
  const clock = options.clock ?? systemClock
  return Effect.gen(function* () {
    const mailbox = yield* Queue.unbounded<Event | typeof TICK>()
    const handle = (event: Event | typeof TICK): void => {
      const now = clock.now()
      const actions = event === TICK ? machine.tick(now) : machine.step(now, event)
      for (const action of actions) options.perform(action)
    }
    const drain = Effect.gen(function* () {
      const events = yield* Queue.takeAll(mailbox)
      yield* Effect.sync(() => {
        for (const event of events) handle(event)
      })
    })
    const guarded = Effect.catchCause(Effect.forever(drain), (cause) =>
      Effect.sync(() => {
        options.onDefect(cause)
      }),
    )
    yield* Effect.forkScoped(guarded)
    yield* startTimer(options.tickMs, () => {
      Queue.offerUnsafe(mailbox, TICK)
    })
    return {
      tell: (event) => {
        Queue.offerUnsafe(mailbox, event)
      },
      backlog: () => Queue.sizeUnsafe(mailbox),
    }
  })
}
