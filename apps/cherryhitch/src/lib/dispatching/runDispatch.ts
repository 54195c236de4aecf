import { handOverVoter } from '@cherryhitch/control'
import type { ControlNode } from '@cherryhitch/control'
import { DiscoveryEventKind, DispatchEventKind, OrderProxy } from '@cherryhitch/dispatch'
import type { DispatchMachine } from '@cherryhitch/dispatch'
import type { HttpServer } from '@cherryhitch/http-api'
import { splitAddress } from '@cherryhitch/model'
import { startControlServer, WorkerGateway } from '@cherryhitch/platform'
import type { Envelope } from '@cherryhitch/protocol'
import { launchedAt, startVariableTimer, startTimer } from '@cherryhitch/runtime'
import type { DispatchSettings } from '@cherryhitch/settings'
import { RealDisk } from '@cherryhitch/storage'
import type { Disk } from '@cherryhitch/storage'
import { Effect, Fiber } from 'effect'
import type { Scope } from 'effect'
import { DispatchParts } from './DispatchParts'
import { DirectoryStore } from './DirectoryStore'
import { endpointDirectoryOf } from './endpointDirectoryOf'
import { reachableProxies } from './reachableProxies'
import { LearnerRegistration } from './LearnerRegistration'
import { NoticeExchange } from './NoticeExchange'
import { OpenJobsReader } from './OpenJobsReader'
import { createProcessContext } from './createProcessContext'
import type { ProcessContext } from './createProcessContext'
import { ControlRequestHandler } from './ControlRequestHandler'
import { RoutingTelemetry } from './RoutingTelemetry'
import { httpCounters } from '../instance/httpCounters'
import { startDiscovery } from './startDiscovery'
import type { DiscoveryActor } from './startDiscovery'
import { startDispatchLinks } from './startDispatchLinks'
import type { DispatchLinks } from './startDispatchLinks'
import { startDispatchPart } from './startDispatchPart'
import type { DispatchPart } from './startDispatchPart'
import { startMetricsServer } from './startMetricsServer'
import { startWarmUp } from './startWarmUp'
import { startUsageReport } from './startUsageReport'
import { startVoter } from './startVoter'

/**
 * Intervals between reads of the control log's status. The interval is shorter after a change of
 * leader, because callers wait for the new one; otherwise it equals the voters' heartbeat interval.
 */
const NEW_LEADER_STATUS_INTERVAL_MS = 20
const STATUS_INTERVAL_MS = 60
/** A leader counts as new for this long; within two heartbeats every instance has announced it. */
const NEW_LEADER_PERIOD_MS = 1_000
/** Margin on top of two heartbeat intervals, after which every live endpoint has sent a notice. */
const HEARTBEAT_MARGIN_MS = 500
/** How often the stored endpoint directory is checked for changes; a disk sync takes 10 ms. */
const DIRECTORY_CHECK_INTERVAL_MS = 200
/** The start does not wait longer for a directory that is only a hint, on a disk that fails. */
const DIRECTORY_READ_TIMEOUT_MS = 1_000
/**
 * How often an instance that may lead next reads the open jobs of the leader. The longer the interval,
 * the more new jobs have to wait after an election, since they can't be told from repeated ones.
 */
const OPEN_JOBS_INTERVAL_MS = 100
/** How long an instance keeps running after handing over leadership, so that orders complete. */
const HANDOVER_GRACE_MS = 300
/**
 * Part of the stop grace period after which a stopping instance no longer waits for a learner to
 * take the place of its voter; the rest is for the last answers.
 */
const VOTER_HANDOVER_PART = 0.5

type OpenDisk = (folder: string) => Disk

function openRealDisk(folder: string): Disk {
  return new RealDisk(folder)
}

/** The running parts of a dispatching instance. */
interface RunningDispatch {
  readonly dispatcher: DispatchPart
  readonly control: ControlNode
  readonly discovery: DiscoveryActor
  readonly notices: NoticeExchange
}

/** What follows the voters and the leadership. */
interface StatusReceivers extends Omit<RunningDispatch, 'notices'> {
  readonly registration: LearnerRegistration
}

/** What a stopping instance closes or hands over. */
interface StoppingParts extends Pick<StatusReceivers, 'control' | 'discovery' | 'registration'> {
  readonly server: HttpServer
  readonly links: DispatchLinks
}

/**
 * Runs a dispatching instance until SIGTERM. The instance hosts a voter of the control log; while
 * it leads, it also queues jobs and dispatches their tasks.
 *
 * @param openDisk - opens the disk of the data folder
 * @returns the reason for stopping
 * @public
 */
export function runDispatch(settings: DispatchSettings, openDisk: OpenDisk = openRealDisk) {
  const running = Effect.gen(function* () {
    const context = yield* createProcessContext(settings, 'dispatch')
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
      if (message.body.case === 'jobOutcome') parts.onOutcomeSent(to)
    }
    const gateway = new WorkerGateway()
    const after = (ms: number, run: () => void): void => {
      if (ms === 0) setImmediate(run)
      else setTimeout(run, ms)
    }
    parts.proxy.bind(new OrderProxy({ gateway, send, now: context.now, after }))
    const dispatcher = yield* startDispatchPart(context, parts, gateway, send)
    const disk = openDisk(settings.dataFolder ?? 'data')
    yield* startDirectoryStore(context, parts, dispatcher, disk)
    const routing = new RoutingTelemetry(log)
    const control = yield* startVoter(context, parts, dispatcher, disk, send, routing)
    const discovery = yield* startVoterDiscovery(context, parts, control, links)
    const notices = makeNoticeExchange(context, { dispatcher, discovery, control }, send)
    parts.notices.bind(notices)
    const runningParts = { dispatcher, control, discovery, notices }
    const server = yield* startControlApi(context, runningParts, routing)
    yield* startOpenJobsReader(context, parts, { dispatcher, discovery }, send)
    const registration = makeRegistration(context, control)
    yield* startStatusUpdates(context, { ...runningParts, registration })
    yield* startWarmUp(context, dispatcher)
    yield* startUsageReport(context, () => {
      const { leads, endpoints, openJobs, counters } = dispatcher.machine
      return { leads: Number(leads), endpoints, openJobs, ...counters, ...links.counters() }
    })
    const { host, zone, seeds } = settings
    const members = control.memberInstances()
    const known = { disk: control.diskId(), term: control.term(), members }
    log.info('started', { host, zone, seeds, ...known })
    const why = yield* context.awaitStop
    const { leads, openJobs } = dispatcher.machine
    log.info('stopping', { why, leads, openJobs })
    yield* shutDown(context, { server, links, discovery, control, registration })
    log.info('stopped', { why, heldBack: telemetry.logger.counters().heldBack })
    return why
  })
  return Effect.scoped(running)
}

function startVoterDiscovery(
  context: ProcessContext,
  parts: DispatchParts,
  control: ControlNode,
  links: DispatchLinks,
): Effect.Effect<DiscoveryActor, never, Scope.Scope> {
  const isReadConfirmed = (): boolean => control.settings()?.current === true
  const onVoterHost = (peer: string): void => {
    control.observePeer(peer, 0)
    parts.notices.use((notices) => {
      notices.sendDirectoryTo(peer)
    })
  }
  const started = startDiscovery(context, { hostsVoter: true, links, isReadConfirmed }, onVoterHost)
  return Effect.tap(started, (discovery) =>
    Effect.sync(() => {
      parts.discovery.bind(discovery)
    }),
  )
}

function makeNoticeExchange(
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
      // Until this voter learns of the term, it may still confirm an earlier leader.
      return control.term() < term ? now() : (control.followedBefore(term) ?? launchedAt)
    },
  })
}

/** Loads the endpoint directory stored before the restart, and stores its changes from now on. */
function startDirectoryStore(
  { now, log }: ProcessContext,
  parts: DispatchParts,
  { machine, tell }: DispatchPart,
  disk: Disk,
): Effect.Effect<void, never, Scope.Scope> {
  const store = new DirectoryStore({
    disk,
    log,
    currentDirectory: () => endpointDirectoryOf(machine, now()),
    lossChanges: () => machine.lossRevision,
  })
  parts.directoryStore.bind(store)
  const load = Effect.map(store.read(), ({ notices, ...losses }) => {
    tell({ kind: DispatchEventKind.EndpointLosses, losses })
    for (const notice of notices) tell({ kind: DispatchEventKind.Notice, notice })
  })
  return Effect.gen(function* () {
    const loading = yield* Effect.forkScoped(load)
    yield* Effect.timeoutOption(Fiber.await(loading), DIRECTORY_READ_TIMEOUT_MS)
    yield* startTimer(DIRECTORY_CHECK_INTERVAL_MS, () => {
      store.tick(now())
    })
  })
}

/** Keeps reading the open jobs of the leader while another instance leads. */
function startOpenJobsReader(
  { instance, boot, now }: ProcessContext,
  parts: DispatchParts,
  { dispatcher, discovery }: Pick<RunningDispatch, 'dispatcher' | 'discovery'>,
  send: (to: string, message: Envelope) => void,
): Effect.Effect<void, never, Scope.Scope> {
  const { tell } = dispatcher
  const leader = (): string => discovery.machine.leader
  const reader = new OpenJobsReader({ instance, boot, leader, tell, send })
  parts.openJobs.bind(reader)
  return startTimer(OPEN_JOBS_INTERVAL_MS, () => {
    reader.tick(now())
  })
}

/** Starts the control interface, which serves operators and endpoints. */
function startControlApi(
  { settings, instance, now, log, telemetry }: ProcessContext,
  { control, notices, discovery }: RunningDispatch,
  routing: RoutingTelemetry,
) {
  const { host, port } = splitAddress(settings.control ?? '')
  const leader = (): string => discovery.machine.leader
  const options = { instance, control, notices, routing, leader, controlPort: port, now, log }
  const handler = new ControlRequestHandler(options)
  const { metrics } = telemetry
  metrics.registerCounters('routing', 'Counted by the configuration.', () => routing.counters())
  const opened = startControlServer({
    host,
    port,
    control: handler,
    log: telemetry.lineLogger('operators'),
  })
  return Effect.tap(opened, (server) =>
    Effect.sync(() => {
      // Bodies that are cut off or aren't UTF-8 are refused before the handler sees them.
      metrics.registerCounters('operators', 'Counted by the server.', () => httpCounters(server))
    }),
  )
}

function makeRegistration(
  { instance, boot, now, log }: ProcessContext,
  control: ControlNode,
): LearnerRegistration {
  return new LearnerRegistration({ instance, boot, control, now, log })
}

/** Ends the service: what is under way is answered, and others take over leadership and vote. */
function shutDown(
  context: ProcessContext,
  { server, links, discovery, control, registration }: StoppingParts,
): Effect.Effect<void> {
  return Effect.gen(function* () {
    server.closeAfterAnswers()
    discovery.tell({ kind: DiscoveryEventKind.Leaving })
    registration.stop()
    yield* leaveGroup(context, control)
    server.stopAccepting()
    yield* links.drain(HANDOVER_GRACE_MS)
  })
}

/** Passes on the leadership and the vote of a stopping instance, and lets orders complete. */
function leaveGroup(
  { instance, boot, now, telemetry, settings }: ProcessContext,
  control: ControlNode,
): Effect.Effect<void> {
  control.transferLeadership()
  const log = telemetry.lineLogger('control')
  const limitMs = VOTER_HANDOVER_PART * settings.stopGraceMs
  const handover = handOverVoter({ control, instance, boot, limitMs, now, log })
  const both = Effect.all([handover, Effect.sleep(HANDOVER_GRACE_MS)], { concurrency: 2 })
  return Effect.asVoid(both)
}

/** Periodically passes the control log's view of voters and leadership to the other parts. */
function startStatusUpdates(
  { instance, now }: ProcessContext,
  { dispatcher, control, discovery, registration }: StatusReceivers,
): Effect.Effect<void, never, Scope.Scope> {
  let lastLeader = ''
  let changedAt = now()
  return startVariableTimer(() => {
    dispatcher.tell({ kind: DispatchEventKind.LeadershipConfirmed, at: control.confirmedAt() })
    const voters = votersOf(control, dispatcher.machine, instance)
    discovery.tell({ kind: DiscoveryEventKind.Voters, ...voters })
    const members = control.status()?.members ?? []
    dispatcher.setProxies(reachableProxies(discovery.machine.proxyCandidates(now()), members))
    registration.tick()
    if (voters.leader !== lastLeader) {
      lastLeader = voters.leader
      changedAt = now()
    }
    const isNew = lastLeader === '' || now() - changedAt < NEW_LEADER_PERIOD_MS
    return isNew ? NEW_LEADER_STATUS_INTERVAL_MS : STATUS_INTERVAL_MS
  })
}

/**
 * The instances that host voters, and the leader, as this instance's control log knows them. Until a
 * leader is known, these are the instances that the own disk names: the seeds may all be gone.
 */
function votersOf(control: ControlNode, machine: DispatchMachine, instance: string) {
  const instances = control.memberInstances()
  const followed = control.followedLeader()
  // This instance counts as the leader only once it has applied all earlier committed entries.
  const leader = followed === instance && !machine.leads ? '' : followed
  return { instances, leader, term: control.term() }
}
