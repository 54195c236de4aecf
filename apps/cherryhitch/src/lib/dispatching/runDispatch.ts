import type { ControlNode } from '@cherryhitch/control'
import { DiscoveryEventKind, DispatchEventKind, OrderProxy } from '@cherryhitch/dispatch'
import type { DispatchMachine } from '@cherryhitch/dispatch'
import { splitAddress } from '@cherryhitch/model'
import { startControlServer, WorkerGateway } from '@cherryhitch/platform'
import type { Envelope } from '@cherryhitch/protocol'
import { startPacedTimer, startTimer } from '@cherryhitch/runtime'
import type { DispatchSettings } from '@cherryhitch/settings'
import { RealDisk } from '@cherryhitch/storage'
import type { Disk } from '@cherryhitch/storage'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import { DispatchParts } from './DispatchParts'
import { DirectoryKeeper } from './DirectoryKeeper'
import { directoryOf } from './directoryOf'
import { heardProxies } from './heardProxies'
import { JoinKeeper } from './JoinKeeper'
import { NoticeExchange } from './NoticeExchange'
import { openProcess } from './openProcess'
import type { ProcessContext } from './openProcess'
import { OperatorCalls } from './OperatorCalls'
import { startDiscovery } from './startDiscovery'
import type { DiscoveryPart } from './startDiscovery'
import { startDispatchLinks } from './startDispatchLinks'
import { startDispatchPart } from './startDispatchPart'
import type { DispatchPart } from './startDispatchPart'
import { startMetricsServer } from './startMetricsServer'
import { startRehearsal } from './startRehearsal'
import { startUseReport } from './startUseReport'
import { startVoter } from './startVoter'

/**
 * Pace at which the parts learn what the log knows, in milliseconds: after the leader has changed,
 * as callers wait for the next one, and otherwise: the pace of the voters' heartbeats.
 */
const NEW_LEADER_STATUS_MS = 20
const STATUS_MS = 60
/** A leader is new for so long, in milliseconds; it is told of by all within two heartbeats. */
const NEW_LEADER_MS = 1_000
/** Notices of all endpoints are there after two heartbeats and this, in milliseconds. */
const HEARTBEAT_MARGIN_MS = 500
/** How often the directory's file is looked after, in milliseconds; a sync takes 10. */
const STORE_DIRECTORY_MS = 200
/** How long an instance that hands its leadership over goes on, so that orders end cleanly. */
const HAND_OVER_MS = 300

/** A dispatching instance, running. */
interface RunningDispatch {
  readonly dispatcher: DispatchPart
  readonly control: ControlNode
  readonly discovery: DiscoveryPart
  readonly notices: NoticeExchange
}

/**
 * Runs a dispatching instance until SIGTERM: a voter of the log, and while it leads, the queue of
 * jobs and the dispatch of their tasks.
 *
 * @returns why it ended
 * @internal
 */
export function runDispatch(settings: DispatchSettings) {
  const running = Effect.gen(function* () {
    const context = yield* openProcess(settings, 'dispatch')
    const { log, telemetry } = context
    yield* startMetricsServer(context)
    const parts = new DispatchParts()
    const links = yield* startDispatchLinks(context, (from, boot, message) => {
      parts.receive(from, boot, message)
    })
    const { instance, boot } = context
    const send = (to: string, message: Envelope): void => {
      if (to === instance) parts.receive(instance, boot, message)
      else links.send(to, message)
      if (message.body.case === 'jobOutcome') parts.noteAnswered(to)
    }
    const gateway = new WorkerGateway()
    const after = (ms: number, run: () => void): void => {
      if (ms === 0) setImmediate(run)
      else setTimeout(run, ms)
    }
    parts.proxy.bind(new OrderProxy({ gateway, send, now: context.now, after }))
    const dispatcher = yield* startDispatchPart(context, parts, gateway, send)
    const disk = new RealDisk(settings.dataFolder ?? 'data')
    yield* startDirectoryKeeper(context, parts, dispatcher, disk)
    const control = yield* startVoter(context, parts, dispatcher, disk, send)
    const discovery = yield* startDiscovery(context, { hostsVoter: true, links }, (peer) => {
      control.notePeer(peer, 0)
      parts.notices.use((notices) => {
        notices.tellAll(peer)
      })
    })
    parts.discovery.bind(discovery)
    const notices = makeNotices(context, { dispatcher, discovery, control }, send)
    parts.notices.bind(notices)
    const server = yield* startOperators(context, { dispatcher, control, discovery, notices })
    yield* startStatus(context, { dispatcher, control, discovery, notices })
    yield* startRehearsal(context, dispatcher)
    yield* startUseReport(context, () => {
      const { leads, endpoints, openJobs, counters } = dispatcher.machine
      return { leads: Number(leads), endpoints, openJobs, ...counters, ...links.counters() }
    })
    const { host, zone, seeds } = settings
    log.info('started', { host, zone, seeds, disk: control.diskId(), term: control.term() })
    const why = yield* context.awaitEnd
    const { leads, openJobs } = dispatcher.machine
    log.info('stopping', { why, leads, openJobs })
    server.closeAfterAnswers()
    discovery.tell({ kind: DiscoveryEventKind.Leaving })
    control.handOver()
    yield* Effect.sleep(HAND_OVER_MS)
    server.stopAccepting()
    yield* links.drain(HAND_OVER_MS)
    log.info('stopped', { why, heldBack: telemetry.logger.counters().heldBack })
    return why
  })
  return Effect.scoped(running)
}

function makeNotices(
  { instance, boot, now, startedAt, settings }: ProcessContext,
  { dispatcher, discovery, control }: Omit<RunningDispatch, 'notices'>,
  send: (to: string, message: Envelope) => void,
): NoticeExchange {
  return new NoticeExchange({
    instance,
    boot,
    machine: dispatcher.machine,
    tell: dispatcher.tell,
    send,
    peers: () => discovery.machine.voterHosts,
    leader: () => discovery.machine.leader,
    now,
    after: (ms, run) => {
      setTimeout(run, ms)
    },
    completeAt: startedAt + 2 * settings.heartbeatMs + HEARTBEAT_MARGIN_MS,
    followedBefore: (term) => {
      // Before it has heard of the term, this voter may still confirm an earlier leader.
      return control.term() < term ? now() : (control.followedBefore(term) ?? startedAt)
    },
  })
}

/** Starts from the endpoints that were known before the restart, and stores them from now on. */
function startDirectoryKeeper(
  { now, log }: ProcessContext,
  parts: DispatchParts,
  { machine, tell }: DispatchPart,
  disk: Disk,
): Effect.Effect<void, never, Scope.Scope> {
  const keeper = new DirectoryKeeper({
    disk,
    log,
    known: () => directoryOf(machine, now()),
    lossChanges: () => machine.lossChanges,
  })
  parts.keeper.bind(keeper)
  return Effect.gen(function* () {
    const { notices, ...news } = yield* keeper.read()
    tell({ kind: DispatchEventKind.Loss, news })
    for (const notice of notices) tell({ kind: DispatchEventKind.Notice, notice })
    yield* startTimer(STORE_DIRECTORY_MS, () => {
      keeper.tick(now())
    })
  })
}

/** Opens the interface for operators and endpoints. */
function startOperators(
  { settings, instance, boot, now, log, telemetry }: ProcessContext,
  { control, notices, discovery }: RunningDispatch,
) {
  const { host, port } = splitAddress(settings.control ?? '')
  const leader = (): string => discovery.machine.leader
  const calls = { instance, boot, control, notices, leader, controlPort: port, now, log }
  const operators = new OperatorCalls(calls)
  return startControlServer({ host, port, control: operators, log: telemetry.lines('operators') })
}

/** Tells the parts, again and again, what the log knows of voters and of the leadership. */
function startStatus(
  { instance, boot, now, log }: ProcessContext,
  { dispatcher, control, discovery }: RunningDispatch,
): Effect.Effect<void, never, Scope.Scope> {
  const join = new JoinKeeper({ instance, boot, control, now, log })
  let leaderKnown = ''
  let changedAt = now()
  return startPacedTimer(() => {
    dispatcher.tell({ kind: DispatchEventKind.Confirmed, at: control.confirmedAt() })
    const voters = votersOf(control, dispatcher.machine, instance)
    discovery.tell({ kind: DiscoveryEventKind.Voters, ...voters })
    const members = control.status()?.members ?? []
    dispatcher.setProxies(heardProxies(discovery.machine.helpers(now()), members))
    join.tick()
    if (voters.leader !== leaderKnown) {
      leaderKnown = voters.leader
      changedAt = now()
    }
    const isNew = leaderKnown === '' || now() - changedAt < NEW_LEADER_MS
    return isNew ? NEW_LEADER_STATUS_MS : STATUS_MS
  })
}

/** Who hosts voters and who leads, as the log knows it here. */
function votersOf(control: ControlNode, machine: DispatchMachine, instance: string) {
  const instances = control.status()?.members.map((member) => member.instance) ?? []
  const known = control.followedLeader()
  // The own leadership counts once everything that was committed before is known here.
  const leader = known === instance && !machine.leads ? '' : known
  return { instances, leader, term: control.term() }
}
