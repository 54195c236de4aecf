import { startControlNode } from '@cherryhitch/control'
import type { ControlError, ControlNode } from '@cherryhitch/control'
import { DispatchEventKind } from '@cherryhitch/dispatch'
import type { Envelope, RoutingState } from '@cherryhitch/protocol'
import type { Disk } from '@cherryhitch/storage'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import type { DispatchParts } from './DispatchParts'
import type { ProcessContext } from './openProcess'
import { tableOf } from './RoutingDocument'
import { seedInstances } from './startDiscovery'
import type { DispatchPart } from './startDispatchPart'

/** Name of the first set of voters; the folder of a voter belongs to one deployment only. */
const CLUSTER_ID = 'first'
/**
 * The log's leader asks its voters at this pace. A new leader starts no task before they have
 * confirmed it once more, and a slower pace would add that much to each change of the leader.
 */
const HEARTBEAT_MS = 60
/**
 * Shortest and longest wait for a silent leader: five heartbeats at least. Callers wait for
 * most answers no longer than that, so what comes without a leader is lost to them.
 */
const ELECTION_MIN_MS = 300
const ELECTION_MAX_MS = 600
/** Half of the pace of heartbeats, in milliseconds. */
const TICK_MS = 30
/**
 * A voter that is silent for this long is replaced by a learner that has caught up. A successor
 * counts as lost until 4 s after its start, and has to vote by then.
 */
const REPLACE_SILENT_MS = 2_000
/** A snapshot every so many entries: each may hold a whole configuration of some kilobytes. */
const SNAPSHOT_EVERY = 256

/** Starts this instance's voter of the log, which stores the routing and elects the leader. @internal */
export function startVoter(
  context: ProcessContext,
  parts: DispatchParts,
  dispatcher: DispatchPart,
  disk: Disk,
  send: (to: string, message: Envelope) => void,
): Effect.Effect<ControlNode, ControlError, Scope.Scope> {
  const { settings, instance, boot, telemetry, log, onDefect } = context
  const seeds = seedInstances(settings)
  const { toleratedLosses } = settings
  const isFirst = settings.firstStart && seeds.includes(instance)
  const started = startControlNode({
    instance,
    boot,
    zone: settings.zone,
    voters: seeds,
    disk,
    ...(isFirst && { autoInit: { clusterId: CLUSTER_ID } }),
    ...(toleratedLosses !== undefined && { toleratedLosses }),
    send,
    log: telemetry.lines('control'),
    onDefect,
    onSettings: () => undefined,
    voterTiming: {
      replaceSilentMs: REPLACE_SILENT_MS,
      heartbeatMs: HEARTBEAT_MS,
      electionMinMs: ELECTION_MIN_MS,
      electionMaxMs: ELECTION_MAX_MS,
      resendMs: ELECTION_MIN_MS,
    },
    tickMs: TICK_MS,
    voterLimits: { snapshotEvery: SNAPSHOT_EVERY },
    onRouting: (routing) => {
      onRouting(routing, dispatcher, log)
    },
    onLeadership: (term, routing) => {
      if (term === undefined) {
        dispatcher.tell({ kind: DispatchEventKind.StepDown })
        return
      }
      dispatcher.tell({ kind: DispatchEventKind.Lead, term, table: tableOf(routing) })
      parts.readDirectories(term)
    },
  })
  return Effect.map(started, (control) => {
    parts.control.bind(control)
    telemetry.metrics.registerCounters('control', 'Counted by the log.', () => control.counters())
    return control
  })
}

function onRouting(
  routing: RoutingState,
  dispatcher: DispatchPart,
  log: ProcessContext['log'],
): void {
  const table = tableOf(routing)
  if (table === undefined) return
  log.info('a routing is in force', { version: table.version, routes: table.routes.length })
  dispatcher.tell({ kind: DispatchEventKind.Routing, table })
}
