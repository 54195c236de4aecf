import { DispatchMachine, startDispatcher } from '@cherryhitch/dispatch'
import type { Dispatcher, EndpointGateway } from '@cherryhitch/dispatch'
import type { Envelope } from '@cherryhitch/protocol'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import type { DispatchParts } from './DispatchParts'
import type { ProcessContext } from './createProcessContext'

/** Margin between the lease that is requested and the longest that endpoints grant. */
const LEASE_MARGIN_MS = 100

/** The running dispatcher. @internal */
export interface DispatchPart extends Dispatcher {
  readonly machine: DispatchMachine
}

/** @internal */
export function startDispatchPart(
  { settings, boot, telemetry, log, now, onDefect }: ProcessContext,
  parts: DispatchParts,
  gateway: EndpointGateway,
  send: (to: string, message: Envelope) => void,
): Effect.Effect<DispatchPart, never, Scope.Scope> {
  const { maxLeaseMs, resubmitDelayMs } = settings
  const timing = {
    leaseMs: maxLeaseMs - LEASE_MARGIN_MS,
    maxGrantMs: maxLeaseMs,
    ...(resubmitDelayMs !== undefined && { resubmitDelayMs }),
  }
  const { without = [] } = settings
  if (without.length > 0) log.warn('mechanisms disabled by the settings', { without })
  const machine = new DispatchMachine({ timing, without })
  const started = startDispatcher({
    boot,
    machine,
    gateway,
    send,
    broadcastNotices: (broadcast) => {
      parts.notices.use((notices) => {
        notices.broadcastNotices(broadcast)
      })
    },
    broadcastLosses: (news) => {
      parts.notices.use((notices) => {
        notices.broadcastLosses(news)
      })
      parts.directoryStore.use((store) => {
        store.onLossUpdate(now())
      })
    },
    broadcastHints: (hints) => {
      parts.notices.use((notices) => {
        notices.broadcastHints(hints)
      })
    },
    onDefect,
    log: (message, fields) => {
      log.info(message, fields)
    },
    measure: (stage, route, ms) => {
      telemetry.measure(stage, route, ms)
    },
  })
  telemetry.metrics.registerCounters('dispatch', 'Counted by the dispatcher.', () => {
    return { ...machine.counters, jobs_open: machine.openJobs }
  })
  return Effect.map(started, (part) => {
    parts.dispatcher.bind(part)
    return { ...part, machine }
  })
}
