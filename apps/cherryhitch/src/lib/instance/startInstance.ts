import type { ControlError, ControlNode } from '@cherryhitch/control'
import { PresetName, shippedPresets, startControlNode } from '@cherryhitch/control'
import type { CoordinatorPart } from '@cherryhitch/coordinator'
import { CoordinatorEventKind, startCoordinator } from '@cherryhitch/coordinator'
import type { HttpServerError } from '@cherryhitch/http-api'
import { MembershipEventKind } from '@cherryhitch/membership'
import type { InstanceView } from '@cherryhitch/model'
import type { OwnerPart } from '@cherryhitch/owner'
import { OwnerEventKind, startOwner } from '@cherryhitch/owner'
import type { PresetDefinition } from '@cherryhitch/protocol'
import { InstanceState } from '@cherryhitch/protocol'
import type { LinkError, LinkHost } from '@cherryhitch/rpc'
import { startLinkHost } from '@cherryhitch/rpc'
import { systemClock } from '@cherryhitch/runtime'
import { Effect, Schedule } from 'effect'
import type { Scope } from 'effect'
import { claimThrough } from './claimThrough'
import { EnvelopeRouter } from './EnvelopeRouter'
import { Instance } from './Instance'
import { InstanceEndpoints } from './InstanceEndpoints'
import { InstanceJobs } from './InstanceJobs'
import { InstanceOperators } from './InstanceOperators'
import type { InstanceOptions, InstanceTiming } from './InstanceOptions'
import { defaultInstanceTiming } from './InstanceOptions'
import { InstanceParts } from './InstanceParts'
import type { DrainSignal } from './DrainSignal'
import { makeDrainSignal } from './DrainSignal'
import { InstancePhase, Readiness } from './Readiness'
import { SettingsKeeper } from './SettingsKeeper'
import type { InstanceInterfaces } from './startInterfaces'
import { startInterfaces } from './startInterfaces'
import type { MembershipPart } from './startMembership'
import { startMembership } from './startMembership'

/** Why an instance could not start. @public */
export type InstanceError = ControlError | HttpServerError | LinkError

/** What the starting functions share. */
interface StartContext {
  readonly options: InstanceOptions
  readonly timing: InstanceTiming
  readonly boot: number
  readonly parts: InstanceParts
  readonly settings: SettingsKeeper
  readonly ownerDrained: DrainSignal
  readonly coordinatorDrained: DrainSignal
}

const SETTINGS_POLL_MS = 50

/**
 * Starts one instance: its parts first, its links next, its interfaces last, so that nobody is
 * let in before someone can answer. It is ready once the settings in force are known, or after
 * a while without them when no quorum can be reached.
 *
 * @public
 */
export function startInstance(
  options: InstanceOptions,
): Effect.Effect<Instance, InstanceError, Scope.Scope> {
  return Effect.gen(function* () {
    const context = makeContext(options)
    const { parts, timing, boot } = context
    const owner = yield* startOwnerPart(context)
    const coordinator = yield* startCoordinatorPart(context)
    const control = yield* startControlPart(context)
    const links = yield* startLinks(context)
    const interfaces = yield* openInterfaces(context, owner, coordinator, control)
    const membership = yield* startMembershipPart(context, interfaces)
    yield* startOffers(context)
    const content = {
      ...context,
      instance: options.instance,
      boot,
      timing,
      readiness: parts.readiness,
      interfaces,
      links,
      owner,
      coordinator,
      control,
      membership,
      members: parts.members,
      log: logOf(options, 'instance'),
    }
    const instance = new Instance(content)
    registerMetrics(options, instance)
    yield* Effect.forkScoped(becomeReady(context, control, membership))
    return instance
  })
}

function logOf(options: InstanceOptions, part: string): (line: string) => void {
  return (line) => {
    options.telemetry.log(part, line)
  }
}

function makeContext(options: InstanceOptions): StartContext {
  const parts = new InstanceParts(new Readiness())
  return {
    options,
    timing: { ...defaultInstanceTiming, ...options.timing },
    boot: options.boot ?? Math.floor(systemClock.now()),
    parts,
    settings: new SettingsKeeper(parts, logOf(options, 'settings')),
    ownerDrained: makeDrainSignal(),
    coordinatorDrained: makeDrainSignal(),
  }
}

/** In force until the voters' settings are known. */
function firstPreset(): PresetDefinition {
  const ordinary = shippedPresets.find(({ name }) => name === (PresetName.Ordinary as string))
  if (ordinary === undefined) throw new Error('the ordinary preset is not shipped')
  return ordinary
}

function startOwnerPart(context: StartContext): Effect.Effect<OwnerPart, never, Scope.Scope> {
  const { options, timing, boot, parts } = context
  const { instance, zone, telemetry } = options
  const { heartbeatMs, endpointTimeoutMs, leaseMs } = timing
  const owner = startOwner({
    instance,
    zone,
    boot,
    preset: firstPreset(),
    timing: { heartbeatMs, endpointTimeoutMs, leaseMs },
    send: parts.send,
    onSummaryChanged: () => {
      tellOffer(context, true)
    },
    onSpan: (span) => {
      telemetry.recordSpan(span)
    },
    onDrained: () => {
      context.ownerDrained.set()
    },
    log: logOf(options, 'owner'),
  })
  return Effect.tap(owner, (part) =>
    Effect.sync(() => {
      parts.owner.bind(part)
    }),
  )
}

function startCoordinatorPart(
  context: StartContext,
): Effect.Effect<CoordinatorPart, never, Scope.Scope> {
  const { options, timing, boot, parts } = context
  const { instance, zone, telemetry } = options
  const coordinator = startCoordinator({
    instance,
    zone,
    boot,
    preset: firstPreset(),
    timing: { leaseMs: timing.leaseMs },
    send: parts.send,
    claim: (claim) => {
      claimKey(parts, claim)
    },
    endClaim: (end) => {
      parts.control.use((control) => {
        control.endClaim(end)
      })
    },
    onSpan: (span) => {
      telemetry.recordSpan(span)
    },
    onDrained: () => {
      context.coordinatorDrained.set()
    },
    log: logOf(options, 'coordinator'),
  })
  return Effect.tap(coordinator, (part) =>
    Effect.sync(() => {
      parts.coordinator.bind(part)
    }),
  )
}

function claimKey(parts: InstanceParts, claim: Parameters<ControlNode['claim']>[0]): void {
  parts.control.use((control) => {
    parts.coordinator.use((coordinator) => {
      Effect.runFork(claimThrough(control, claim, coordinator.tell))
    })
  })
}

function startControlPart(
  context: StartContext,
): Effect.Effect<ControlNode, ControlError, Scope.Scope> {
  const { options, boot, parts, settings } = context
  const { instance, zone, disk, peers } = options
  const voters = peers.filter((peer) => peer.voter).map((peer) => peer.instance)
  if (disk !== undefined) voters.push(instance)
  const control = startControlNode({
    instance,
    boot,
    zone,
    voters,
    ...(disk === undefined ? {} : { disk }),
    ...(options.autoInit === undefined ? {} : { autoInit: options.autoInit }),
    send: parts.send,
    log: logOf(options, 'control'),
    onSettings: settings.apply,
  })
  return Effect.tap(control, (node) =>
    Effect.sync(() => {
      parts.control.bind(node)
    }),
  )
}

function startLinks(context: StartContext): Effect.Effect<LinkHost, LinkError, Scope.Scope> {
  const { options, boot, parts } = context
  const { instance, peers, instances, tokens } = options
  const router = createRouter(parts)
  const links = startLinkHost({
    instance,
    boot,
    listen: { host: instances.host, port: instances.port },
    peers,
    ...(tokens === undefined ? {} : { token: tokens.instances }),
    onEnvelope: (from, fromBoot, message) => {
      router.route(from, fromBoot, message)
    },
    onLinkUp: (peer, roundTripMs) => {
      parts.membership.use((membership) => {
        membership.tell({ kind: MembershipEventKind.LinkUp, peer, roundTripMs })
      })
    },
    onLinkDown: (peer) => {
      parts.membership.use((membership) => {
        membership.tell({ kind: MembershipEventKind.LinkDown, peer })
      })
    },
    log: logOf(options, 'links'),
  })
  return Effect.tap(links, (host) =>
    Effect.sync(() => {
      parts.links.bind(host)
    }),
  )
}

function createRouter(parts: InstanceParts): EnvelopeRouter {
  return new EnvelopeRouter({
    toOwner: (from, message) => {
      parts.owner.use((owner) => {
        owner.tell({ kind: OwnerEventKind.Message, from, message })
      })
    },
    toCoordinator: (from, message) => {
      parts.coordinator.use((coordinator) => {
        coordinator.tell({ kind: CoordinatorEventKind.Message, from, message })
      })
    },
    toMembership: (from, boot, heartbeat) => {
      parts.membership.use((membership) => {
        membership.tell({ kind: MembershipEventKind.Heartbeat, from, boot, heartbeat })
      })
    },
    toControl: (from, boot, body) => {
      parts.control.use((control) => {
        control.receive(from, boot, body)
      })
    },
    toDirectory: (announcement) => {
      parts.owner.use((owner) => {
        owner.tell({ kind: OwnerEventKind.Heartbeat, announcement })
      })
    },
  })
}

function openInterfaces(
  { options, timing, parts }: StartContext,
  owner: OwnerPart,
  coordinator: CoordinatorPart,
  control: ControlNode,
): Effect.Effect<InstanceInterfaces, HttpServerError, Scope.Scope> {
  const { members, send, readiness } = parts
  const { heartbeatMs } = timing
  const { instance } = options
  return startInterfaces(options, {
    jobs: new InstanceJobs(coordinator),
    endpoints: new InstanceEndpoints({ instance, owner, heartbeatMs, send, members }),
    operators: new InstanceOperators({ instance, owner, coordinator, control, members }),
    health: readiness,
  })
}

function startMembershipPart(
  context: StartContext,
  interfaces: InstanceInterfaces,
): Effect.Effect<MembershipPart, never, Scope.Scope> {
  const { options, timing, boot, parts } = context
  const { instance, zone, peers, endpoints } = options
  const log = logOf(options, 'membership')
  const membership = startMembership({
    instance,
    boot,
    zone,
    endpointAddress: `${endpoints.host}:${interfaces.endpoints.port}`,
    peers,
    timing: { heartbeatMs: timing.instanceHeartbeatMs, timeoutMs: timing.instanceTimeoutMs },
    tickMs: timing.partTickMs,
    send: parts.send,
    onView: (members) => {
      spreadView(context, members)
    },
    onDefect: (defect) => {
      parts.readiness.enter(InstancePhase.Broken)
      log(`stopped by a defect: ${String(defect)}`)
    },
    log,
  })
  return Effect.tap(membership, (part) =>
    Effect.sync(() => {
      parts.membership.bind(part)
    }),
  )
}

function spreadView({ parts, options }: StartContext, members: readonly InstanceView[]): void {
  parts.setMembers(members)
  parts.owner.use((owner) => {
    owner.tell({ kind: OwnerEventKind.Members, members })
  })
  parts.coordinator.use((coordinator) => {
    coordinator.tell({ kind: CoordinatorEventKind.Members, members })
  })
  parts.control.use((control) => {
    for (const member of members) {
      if (member.self || !member.alive || member.zone !== options.zone) continue
      control.notePeer(member.instance, member.settingsVersion)
    }
  })
}

function tellOffer({ parts, settings }: StartContext, urgent: boolean): void {
  parts.owner.use((owner) => {
    parts.coordinator.use((coordinator) => {
      parts.membership.use((membership) => {
        membership.tell({
          kind: MembershipEventKind.LocalOffer,
          services: owner.summaries(),
          jobsInFlight: coordinator.jobsInFlight(),
          settingsVersion: settings.version,
          urgent,
        })
      })
    })
  })
}

function tellRoundTrips({ parts, options }: StartContext): void {
  parts.links.use((links) => {
    parts.membership.use((membership) => {
      for (const { instance: peer } of options.peers) {
        const roundTripMs = links.roundTripMs(peer)
        membership.tell({ kind: MembershipEventKind.RoundTrip, peer, roundTripMs })
      }
    })
  })
}

/** Tells membership at a steady pace what this instance offers. */
function startOffers(context: StartContext): Effect.Effect<void, never, Scope.Scope> {
  const tell = Effect.sync(() => {
    tellRoundTrips(context)
    tellOffer(context, false)
  })
  const repeated = Effect.repeat(tell, Schedule.spaced(context.timing.offerMs))
  return Effect.asVoid(Effect.forkScoped(repeated))
}

function becomeReady(
  { options, timing, parts }: StartContext,
  control: ControlNode,
  membership: MembershipPart,
): Effect.Effect<void> {
  const log = logOf(options, 'instance')
  return Effect.gen(function* () {
    const startedAt = systemClock.now()
    while (control.settings()?.current !== true) {
      if (systemClock.now() - startedAt >= timing.settingsWaitMs) {
        log('no quorum confirms the settings, serving under the newest known ones')
        break
      }
      yield* Effect.sleep(SETTINGS_POLL_MS)
    }
    membership.tell({ kind: MembershipEventKind.LocalState, state: InstanceState.SERVING })
    parts.readiness.enter(InstancePhase.Serving)
    log('ready')
  })
}

function registerMetrics(options: InstanceOptions, instance: Instance): void {
  for (const part of Object.keys(instance.counters())) {
    options.telemetry.registerCounters(part, () => instance.counters()[part] ?? {})
  }
}
