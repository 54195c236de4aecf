import type { InstanceView } from '@cherryhitch/model'
import { exhaustive } from '@cherryhitch/model'
import type { Envelope, InstanceHeartbeat, ServiceSummary } from '@cherryhitch/protocol'
import { InstanceState, envelope } from '@cherryhitch/protocol'
import { StateMachine } from '@cherryhitch/runtime'
import type { MembershipAction } from './MembershipAction'
import { MembershipActionKind } from './MembershipAction'
import type { MembershipEvent } from './MembershipEvent'
import { MembershipEventKind } from './MembershipEvent'
import type { MembershipOptions, MembershipTiming } from './MembershipOptions'
import { defaultMembershipTiming } from './MembershipOptions'
import { HeartbeatResult, PeerRecord } from './PeerRecord'
import { sameServices } from './sameServices'

/** Counters of membership events; they never decrease. @public */
export interface MembershipCounters extends Readonly<Record<string, number>> {
  readonly heartbeatsSent: number
  readonly heartbeatsReceived: number
  /** Dropped heartbeats: duplicates, out of order, or from an earlier boot. */
  readonly heartbeatsStale: number
  /** Heartbeats from instances that are not listed in the settings. */
  readonly heartbeatsForeign: number
  readonly instancesLost: number
}

/**
 * Failure detector: decides by their heartbeats alone which instances are alive, and broadcasts
 * what this instance offers.
 *
 * Each instance decides for itself, without consensus, so a partitioned zone keeps working with the
 * instances that it can reach. While the views of two instances differ, both may consider themselves
 * the owner of an endpoint; the endpoint then refuses tasks that exceed its slots.
 *
 * @public
 */
export class MembershipMachine extends StateMachine<MembershipEvent, MembershipAction> {
  private readonly timing: MembershipTiming
  private readonly peers: ReadonlyMap<string, PeerRecord>
  private readonly count = {
    heartbeatsSent: 0,
    heartbeatsReceived: 0,
    heartbeatsStale: 0,
    heartbeatsForeign: 0,
    instancesLost: 0,
  }
  private state = InstanceState.STARTING
  private services: readonly ServiceSummary[] = []
  private jobsInFlight = 0
  private settingsVersion = 0
  private sequence = 0
  private sameZoneDueAt = 0
  private crossZoneDueAt = 0
  private lastUrgentAt = Number.NEGATIVE_INFINITY
  private isUrgentPending = false
  private hasUnpublishedChanges = false
  private lastViewAt = Number.NEGATIVE_INFINITY

  constructor(private readonly options: MembershipOptions) {
    super()
    this.timing = { ...defaultMembershipTiming, ...options.timing }
    this.peers = new Map(
      options.peers.map((peer) => [peer.instance, new PeerRecord(peer, this.timing)]),
    )
  }

  get counters(): MembershipCounters {
    return this.count
  }

  override step(now: number, event: MembershipEvent): readonly MembershipAction[] {
    switch (event.kind) {
      case MembershipEventKind.Heartbeat:
        return this.handleHeartbeat(now, event.from, event.boot, event.heartbeat)
      case MembershipEventKind.LinkUp:
        return this.handleLinkChange(now, event.peer, true, event.roundTripMs)
      case MembershipEventKind.LinkDown:
        return this.handleLinkChange(now, event.peer, false, 0)
      case MembershipEventKind.RoundTrip:
        this.peers.get(event.peer)?.setRoundTrip(event.roundTripMs)
        return []
      case MembershipEventKind.LocalState:
        this.state = event.state
        this.isUrgentPending = true
        return [...this.sendDueHeartbeats(now), this.publishView(now)]
      case MembershipEventKind.LocalOffer:
        return this.handleOffer(now, event)
      default:
        return exhaustive(event)
    }
  }

  override tick(now: number): readonly MembershipAction[] {
    const lost = [...this.peers.values()].filter((peer) => peer.expireIfSilent(now))
    this.count.instancesLost += lost.length
    const actions: MembershipAction[] = lost.map((peer) => ({
      kind: MembershipActionKind.InstanceLost,
      instance: peer.known.instance,
      boot: peer.currentBoot,
    }))
    if (lost.length > 0 || this.hasUnpublishedChanges) actions.push(this.publishView(now))
    actions.push(...this.sendDueHeartbeats(now))
    return actions
  }

  /** All instances that are listed in the settings, this one first. */
  view(now: number): readonly InstanceView[] {
    return [this.selfView(now), ...[...this.peers.values()].map((peer) => peer.view())]
  }

  private handleHeartbeat(
    now: number,
    from: string,
    boot: number,
    heartbeat: InstanceHeartbeat,
  ): readonly MembershipAction[] {
    const peer = this.peers.get(from)
    if (peer === undefined) {
      this.count.heartbeatsForeign++
      return []
    }
    this.count.heartbeatsReceived++
    const result = peer.applyHeartbeat(now, boot, heartbeat)
    switch (result) {
      case HeartbeatResult.Stale:
        this.count.heartbeatsStale++
        return []
      case HeartbeatResult.Same:
        return []
      case HeartbeatResult.Changed:
        return this.publishChange(now)
      case HeartbeatResult.Found:
        return [
          { kind: MembershipActionKind.InstanceFound, instance: from, boot },
          this.publishView(now),
        ]
      default:
        return exhaustive(result)
    }
  }

  private handleLinkChange(
    now: number,
    peerName: string,
    up: boolean,
    roundTripMs: number,
  ): readonly MembershipAction[] {
    const peer = this.peers.get(peerName)
    if (peer === undefined) return []
    peer.setLink(up, roundTripMs)
    // A reconnected peer gets the state of this instance without waiting for the next heartbeat.
    if (!up) return []
    return [this.sendHeartbeat(now, peerName)]
  }

  private handleOffer(
    now: number,
    offer: Extract<MembershipEvent, { kind: MembershipEventKind.LocalOffer }>,
  ): readonly MembershipAction[] {
    const isChanged = !sameServices(offer.services, this.services)
    this.services = offer.services
    this.jobsInFlight = offer.jobsInFlight
    this.settingsVersion = offer.settingsVersion
    if (offer.urgent) this.isUrgentPending = true
    const isStale = now - this.lastViewAt >= this.timing.viewRefreshMs
    const view = isChanged || isStale ? [this.publishView(now)] : []
    return [...view, ...this.sendDueHeartbeats(now)]
  }

  /** Publishes a view now or, if the last one is too recent, at the next tick with other changes. */
  private publishChange(now: number): readonly MembershipAction[] {
    if (now - this.lastViewAt >= this.timing.minViewIntervalMs) return [this.publishView(now)]
    this.hasUnpublishedChanges = true
    return []
  }

  private sendDueHeartbeats(now: number): readonly MembershipAction[] {
    const isUrgentDue =
      this.isUrgentPending && now - this.lastUrgentAt >= this.timing.minUrgentIntervalMs
    const isSameZoneDue = isUrgentDue || now >= this.sameZoneDueAt
    const isCrossZoneDue = isUrgentDue || now >= this.crossZoneDueAt
    if (isUrgentDue) {
      this.isUrgentPending = false
      this.lastUrgentAt = now
    }
    if (isSameZoneDue) this.sameZoneDueAt = now + this.timing.heartbeatMs
    if (isCrossZoneDue) this.crossZoneDueAt = now + this.timing.crossZoneHeartbeatMs
    return [...this.peers.values()]
      .filter((peer) => (this.isInSameZone(peer) ? isSameZoneDue : isCrossZoneDue))
      .map((peer) => this.sendHeartbeat(now, peer.known.instance))
  }

  private isInSameZone(peer: PeerRecord): boolean {
    return peer.known.zone === this.options.zone
  }

  private sendHeartbeat(_now: number, to: string): MembershipAction {
    this.count.heartbeatsSent++
    return { kind: MembershipActionKind.Send, to, envelope: this.createHeartbeat() }
  }

  private createHeartbeat(): Envelope {
    this.sequence++
    return envelope({
      case: 'instanceHeartbeat',
      value: {
        zone: this.options.zone,
        state: this.state,
        sequence: this.sequence,
        services: [...this.services],
        settingsVersion: this.settingsVersion,
        endpointAddress: this.options.endpointAddress,
        jobsInFlight: this.jobsInFlight,
      },
    })
  }

  private publishView(now: number): MembershipAction {
    this.lastViewAt = now
    this.hasUnpublishedChanges = false
    return { kind: MembershipActionKind.ViewChanged, members: this.view(now) }
  }

  private selfView(now: number): InstanceView {
    return {
      instance: this.options.instance,
      boot: this.options.boot,
      zone: this.options.zone,
      state: this.state,
      alive: true,
      self: true,
      services: this.services,
      heardAt: now,
      roundTripMs: 0,
      endpointAddress: this.options.endpointAddress,
      settingsVersion: this.settingsVersion,
    }
  }
}
