import {
  DiscoveryEventKind,
  JobRelay,
  RelayActionKind,
  RelayEventKind,
} from '@cherryhitch/dispatch'
import type { RelayAction, RelayEvent } from '@cherryhitch/dispatch'
import { splitAddress } from '@cherryhitch/model'
import { startFrontServer, startReadinessServer } from '@cherryhitch/platform'
import { JobVerdict } from '@cherryhitch/protocol'
import type { Envelope, JobOutcome } from '@cherryhitch/protocol'
import { startActor } from '@cherryhitch/runtime'
import type { Actor } from '@cherryhitch/runtime'
import type { DispatchSettings } from '@cherryhitch/settings'
import type { PartLog } from '@cherryhitch/telemetry'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import { httpCounters } from '../instance/httpCounters'
import { LateBound } from '../instance/LateBound'
import { CallerRequests } from './CallerRequests'
import { createProcessContext } from './createProcessContext'
import type { ProcessContext } from './createProcessContext'
import { startDiscovery } from './startDiscovery'
import type { DiscoveryActor } from './startDiscovery'
import { startMetricsServer } from './startMetricsServer'
import { startDispatchLinks } from './startDispatchLinks'
import { startUsageReport } from './startUsageReport'
import type { DispatchLinks } from './startDispatchLinks'

/** Two thirds of the relay's shortest timeout; shorter ticks wake an idle entry more often. */
const RELAY_TICK_MS = 20
/**
 * Time until the load balancer stops sending connections: two failed readiness probes, which are
 * one second apart.
 */
const BALANCER_DELAY_MS = 2_300
/** Part of the stop grace period that is reserved for sending the last answers. */
const LAST_ANSWERS_MARGIN_MS = 400

/** The parts of an entry that receive messages; each is bound once it has started. */
class EntryParts {
  readonly relay = new LateBound<Actor<RelayEvent>>()
  readonly discovery = new LateBound<DiscoveryActor>()

  constructor(private readonly log: PartLog) {}

  receive(from: string, boot: number, { body }: Envelope): void {
    if (body.case === 'jobOutcome') {
      this.logRejection(from, boot, body.value)
      this.tellRelay({ kind: RelayEventKind.Outcome, from, outcome: body.value })
      this.noteLeaderAnswer(from, body.value)
    } else if (body.case === 'instanceDirectory') {
      const directory = body.value
      this.discovery.use((part) => {
        part.tell({ kind: DiscoveryEventKind.DirectoryReceived, from, directory })
      })
    }
  }

  private logRejection(from: string, boot: number, { requestId, verdict }: JobOutcome): void {
    if (verdict !== JobVerdict.NOT_LEADER) return
    this.log.info('request sent to an instance that is not the leader', { requestId, from, boot })
  }

  /** Tells discovery of an answer that only a leader gives, as evidence that it is alive. */
  private noteLeaderAnswer(from: string, { verdict, term }: JobOutcome): void {
    if (verdict === JobVerdict.NOT_LEADER || verdict === JobVerdict.LEADER_LOST) return
    this.discovery.use((part) => {
      part.tell({ kind: DiscoveryEventKind.LeaderMessageReceived, from, term })
    })
  }

  tellRelay(event: RelayEvent): void {
    this.relay.use((part) => {
      part.tell(event)
    })
  }
}

/**
 * Runs an entry until SIGTERM: it accepts jobs from callers, relays them to the leader and returns
 * the answers.
 *
 * @returns the reason for stopping
 * @internal
 */
export function runEntry(settings: DispatchSettings) {
  const running = Effect.gen(function* () {
    const context = yield* createProcessContext(settings, 'entry')
    const { log } = context
    yield* startMetricsServer(context)
    const parts = new EntryParts(log)
    const links = yield* startDispatchLinks(context, (from, boot, message) => {
      parts.receive(from, boot, message)
    })
    const relay = new JobRelay()
    const requests = yield* startRelay(context, parts, relay, links)
    const onLeader = (leader: string, term: number): void => {
      parts.tellRelay({ kind: RelayEventKind.Leader, leader, term })
    }
    const onQuorumUnreachable = (): void => {
      parts.tellRelay({ kind: RelayEventKind.QuorumUnreachable })
    }
    const discovery = { hostsVoter: false, links, onLeader, onQuorumUnreachable }
    parts.discovery.bind(yield* startDiscovery(context, discovery))
    let isDraining = false
    const isReady = (): boolean => relay.hasLeader && !isDraining
    const front = yield* startInterfaces(context, requests, isReady)
    yield* startUsageReport(context, () => ({ requestsOpen: requests.size, ...links.counters() }))
    log.info('started', { host: settings.host, zone: settings.zone, seeds: settings.seeds })
    const why = yield* context.awaitStop
    isDraining = true
    log.info('stopping', { why, open: requests.size })
    front.closeAfterAnswers()
    yield* Effect.sleep(BALANCER_DELAY_MS)
    front.stopAccepting()
    const limitMs = settings.stopGraceMs - BALANCER_DELAY_MS - LAST_ANSWERS_MARGIN_MS
    yield* Effect.timeoutOption(front.whenIdle, limitMs)
    log.info('stopped', { why, open: requests.size })
    return why
  })
  return Effect.scoped(running)
}

/** Starts the part that relays requests to the leader. */
function startRelay(
  { boot, now, log, telemetry, onDefect }: ProcessContext,
  parts: EntryParts,
  relay: JobRelay,
  links: DispatchLinks,
): Effect.Effect<CallerRequests, never, Scope.Scope> {
  const tell = (event: RelayEvent): void => {
    parts.tellRelay(event)
  }
  const measure = (stage: string, route: string, ms: number): void => {
    telemetry.measure(stage, route, ms)
  }
  const requests = new CallerRequests({ boot, tell, now, log, measure })
  const perform = (action: RelayAction): void => {
    if (action.kind === RelayActionKind.Send) links.send(action.to, action.envelope)
    else requests.answer(action.outcome, action.attempts)
  }
  telemetry.metrics.registerCounters('entry', 'Counted by the entry.', () => {
    return { ...requests.counters, relayed_open: relay.openRequests }
  })
  return Effect.map(startActor(relay, { perform, onDefect, tickMs: RELAY_TICK_MS }), (part) => {
    parts.relay.bind(part)
    return requests
  })
}

/** Starts the interfaces for callers and for readiness probes. */
function startInterfaces(
  { settings, telemetry }: ProcessContext,
  clients: CallerRequests,
  isReady: () => boolean,
) {
  return Effect.gen(function* () {
    const callers = splitAddress(settings.callers ?? '')
    const log = telemetry.lineLogger('callers')
    const front = yield* startFrontServer({ ...callers, clients, isReady, log })
    telemetry.metrics.registerCounters('callers', 'Counted by the HTTP interface.', () => {
      return httpCounters(front)
    })
    const probes = splitAddress(settings.readiness ?? '')
    yield* startReadinessServer({ ...probes, isReady, log: telemetry.lineLogger('readiness') })
    return front
  })
}
