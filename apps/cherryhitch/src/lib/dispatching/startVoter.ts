import { drainedZonesOf, startControlNode } from '@cherryhitch/control'
import type { ControlError, ControlNode } from '@cherryhitch/control'
import { DispatchEventKind } from '@cherryhitch/dispatch'
import type { Envelope, RoutingState, SettingsState } from '@cherryhitch/protocol'
import type { Disk } from '@cherryhitch/storage'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import type { DispatchParts } from './DispatchParts'
import type { ProcessContext } from './createProcessContext'
import { routingTableOf } from './RoutingDocument'
import type { RoutingTelemetry } from './RoutingTelemetry'
import { seedInstances } from './startDiscovery'
import type { DispatchPart } from './startDispatchPart'

/** Id of the initial set of voters; fixed, as a data folder belongs to one deployment only. */
const CLUSTER_ID = 'first'
/**
 * Interval of the leader's heartbeats to its voters. A new leader starts no task until the voters
 * have confirmed it once more, so a longer interval would delay every change of leader.
 */
const HEARTBEAT_MS = 60
/**
 * Bounds of the election timeout: at least five heartbeat intervals. Callers wait no longer than
 * that for most answers, so requests that arrive while there is no leader time out.
 */
const ELECTION_MIN_MS = 300
const ELECTION_MAX_MS = 600
/** The first candidate of five then starts some 60 ms before the second: a round of votes. */
const STARTUP_ELECTION_MAX_MS = 400
/** Half of the heartbeat interval. */
const TICK_MS = 30
/**
 * A voter that is silent for this long is replaced by a learner that has caught up. A replacement
 * instance counts as lost until 4 s after its start, so its disk has to be a voter by then.
 */
const REPLACE_SILENT_MS = 2_000
/** Log entries between snapshots: an entry may hold a whole configuration of several kilobytes. */
const SNAPSHOT_EVERY = 256

/**
 * Starts this instance's voter of the control log, which stores the routing and elects the leader.
 *
 * @internal
 */
export function startVoter(
  context: ProcessContext,
  parts: DispatchParts,
  dispatcher: DispatchPart,
  disk: Disk,
  send: (to: string, message: Envelope) => void,
  routingTelemetry: RoutingTelemetry,
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
    log: telemetry.lineLogger('control'),
    onDefect,
    onSettings: () => undefined,
    voterTiming: {
      replaceSilentMs: REPLACE_SILENT_MS,
      heartbeatMs: HEARTBEAT_MS,
      electionMinMs: ELECTION_MIN_MS,
      electionMaxMs: ELECTION_MAX_MS,
      startupElectionMaxMs: STARTUP_ELECTION_MAX_MS,
      resendMs: ELECTION_MIN_MS,
    },
    tickMs: TICK_MS,
    voterLimits: { snapshotEvery: SNAPSHOT_EVERY },
    onRouting: (routing) => {
      applyRouting(routing, { dispatcher, telemetry: routingTelemetry, log })
    },
    onCommittedSettings: (state) => {
      applyDrainedZones(state, dispatcher, log)
    },
    onLeadership: (term, committed) => {
      if (term === undefined) {
        dispatcher.tell({ kind: DispatchEventKind.StepDown })
        return
      }
      dispatcher.tell({
        kind: DispatchEventKind.BecomeLeader,
        term,
        table: routingTableOf(committed.routing, log),
        drainedZones: drainedZonesOf(committed.settings?.zoneDrains ?? []),
      })
      parts.readDirectories(term)
    },
  })
  return Effect.map(started, (control) => {
    parts.control.bind(control)
    telemetry.metrics.registerCounters('control', 'Counted by the log.', () => control.counters())
    return control
  })
}

function applyDrainedZones(
  { version, zoneDrains }: SettingsState,
  dispatcher: DispatchPart,
  log: ProcessContext['log'],
): void {
  const zones = drainedZonesOf(zoneDrains)
  log.info('settings committed', { version, drainedZones: [...zones] })
  dispatcher.tell({ kind: DispatchEventKind.DrainedZones, zones })
}

interface RoutingUsers {
  readonly dispatcher: DispatchPart
  readonly telemetry: RoutingTelemetry
  readonly log: ProcessContext['log']
}

function applyRouting(routing: RoutingState, { dispatcher, telemetry, log }: RoutingUsers): void {
  const table = routingTableOf(routing, log)
  if (table === undefined) return
  telemetry.onInForce(table, routing)
  dispatcher.tell({ kind: DispatchEventKind.Routing, table })
}
