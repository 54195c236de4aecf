import type { SpanRecord } from '@cherryhitch/model'
import { exhaustive } from '@cherryhitch/model'
import type { Envelope, ServiceSummary } from '@cherryhitch/protocol'
import type { Clock } from '@cherryhitch/runtime'
import { startActor, systemClock } from '@cherryhitch/runtime'
import type { Scope } from 'effect'
import { Effect } from 'effect'
import type { EndpointClientCounters, EndpointClientOptions } from './client/EndpointClient'
import { EndpointClient } from './client/EndpointClient'
import type { OwnerAction } from './OwnerAction'
import { OwnerActionKind } from './OwnerAction'
import type { OwnerCounters } from './OwnerCounters'
import type { OwnerEvent } from './OwnerEvent'
import { OwnerMachine } from './OwnerMachine'
import type { OwnerMachineOptions } from './OwnerOptions'
import type { EndpointView } from './views/EndpointView'

/** Short compared with leases and time-outs of seconds; an idle tick takes microseconds. */
const TICK_MS = 25

/** Options and callbacks of a running owner. Callbacks must not block. @public */
export interface OwnerPartOptions extends OwnerMachineOptions {
  /** Sends a message to an instance, which may be this one. */
  readonly send: (to: string, envelope: Envelope) => void
  /** Called when the summaries should be sent to coordinators at once. */
  readonly onSummaryChanged: () => void
  readonly onSpan: (span: SpanRecord) => void
  /** Called when draining is complete. */
  readonly onDrained: () => void
  /** Called when an unexpected error stopped the owner; the process has to exit too. */
  readonly onDefect?: (defect: unknown) => void
  readonly log: (line: string) => void
  readonly clock?: Clock
  readonly client?: Partial<EndpointClientOptions>
}

/** A running owner. @public */
export interface OwnerActor {
  /** Enqueues an event without waiting for it to be handled. */
  readonly tell: (event: OwnerEvent) => void
  /** Number of enqueued events. */
  readonly backlog: () => number
  readonly summaries: () => readonly ServiceSummary[]
  readonly endpoints: () => readonly EndpointView[]
  readonly counters: () => Readonly<OwnerCounters>
  readonly clientCounters: () => Readonly<EndpointClientCounters>
  /** Tasks that are queued or dispatched here. */
  readonly tasks: () => number
  /** The instance that should get an endpoint's heartbeats. */
  readonly ownerOf: (endpoint: string, service: string, zone?: string) => string | undefined
}

/**
 * Starts the owner: its state machine in a fiber of its own, and the client for requests to
 * endpoints. Both are stopped when the scope closes.
 *
 * @public
 */
export function startOwner(
  options: OwnerPartOptions,
): Effect.Effect<OwnerActor, never, Scope.Scope> {
  const clock = options.clock ?? systemClock
  const machine = new OwnerMachine(options)
  return Effect.gen(function* () {
    // The client reports results to the mailbox, which is created after the client.
    let deliver: (event: OwnerEvent) => void = () => undefined
    const tell = (event: OwnerEvent): void => {
      deliver(event)
    }
    const client = yield* Effect.acquireRelease(
      Effect.sync(() => new EndpointClient(tell, options.client)),
      (open) =>
        Effect.sync(() => {
          open.close()
        }),
    )
    const part = yield* startActor(machine, {
      perform: (action) => {
        perform(options, client, action)
      },
      onDefect: (defect) => {
        options.log(`stopped by a defect: ${String(defect)}`)
        options.onDefect?.(defect)
      },
      tickMs: TICK_MS,
      clock,
    })
    deliver = part.tell
    return {
      tell,
      backlog: part.backlog,
      summaries: () => machine.summaries(clock.now()),
      endpoints: () => machine.endpoints(clock.now()),
      counters: () => machine.counters,
      clientCounters: () => client.counters,
      tasks: () => machine.tasks,
      ownerOf: (endpoint, service, zone) => machine.ownerOf(endpoint, service, zone),
    }
  })
}

function perform(options: OwnerPartOptions, client: EndpointClient, action: OwnerAction): void {
  switch (action.kind) {
    case OwnerActionKind.Send:
      options.send(action.to, action.envelope)
      return
    case OwnerActionKind.SummaryChanged:
      options.onSummaryChanged()
      return
    case OwnerActionKind.Span:
      options.onSpan(action.span)
      return
    case OwnerActionKind.Drained:
      options.log('drained')
      options.onDrained()
      return
    case OwnerActionKind.RunTask:
    case OwnerActionKind.StopTasks:
    case OwnerActionKind.RenewLeases:
    case OwnerActionKind.Probe:
    case OwnerActionKind.DropRun:
    case OwnerActionKind.CloseIdle:
      client.perform(action)
      return
    default:
      exhaustive(action)
  }
}
