import type { InstanceView } from '@cherryhitch/model'
import { exhaustive } from '@cherryhitch/model'
import type { Envelope, InstanceHeartbeat, ServiceSummary } from '@cherryhitch/protocol'
import { InstanceState, envelope } from '@cherryhitch/protocol'
import { Machine } from '@cherryhitch/runtime'
import type { MembershipAction } from './MembershipAction'
import { MembershipActionKind } from './MembershipAction'
import type { MembershipEvent } from './MembershipEvent'
import { MembershipEventKind } from './MembershipEvent'
import type { MembershipOptions, MembershipTiming } from './MembershipOptions'
import { defaultMembershipTiming } from './MembershipOptions'
import { HeartbeatVerdict, PeerRecord } from './PeerRecord'
import { sameServices } from './sameServices'

/** What membership counts; all rise only. @public */
export interface MembershipCounters extends Readonly<Record<string, number>> {
  readonly heartbeatsSent: number
  readonly heartbeatsReceived: number
  /** Of an earlier boot, late or doubled; they are dropped. */
  readonly heartbeatsStale: number
  /** From an instance that the settings do not name. */
  readonly heartbeatsForeign: number
  readonly instancesLost: number
}

/**
 * Decides which instances live, by their heartbeats alone, and spreads what this one offers.
 *
 * Each instance judges for itself: nobody has to agree, so a zone that is cut off goes on with
 * the instances it hears. Two instances that differ for a while may both count themselves the
 * owner of an endpoint; the endpoint itself then refuses what is over its slots.
 *
 * @public
 */
export class MembershipMachine extends Machine<MembershipEvent, MembershipAction> {
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
  private nearDueAt = 0
  private farDueAt = 0
  private urgentSentAt = Number.NEGATIVE_INFINITY
  private isUrgent = false
  private hasNews = false
  private viewedAt = Number.NEGATIVE_INFINITY

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
        return this.takeHeartbeat(now, event.from, event.boot, event.heartbeat)
      case MembershipEventKind.LinkUp:
        return this.noteLink(now, event.peer, true, event.roundTripMs)
      case MembershipEventKind.LinkDown:
        return this.noteLink(now, event.peer, false, 0)
      case MembershipEventKind.RoundTrip:
        this.peers.get(event.peer)?.noteRoundTrip(event.roundTripMs)
        return []
      case MembershipEventKind.LocalState:
        this.state = event.state
        this.isUrgent = true
        return [...this.sendDue(now), this.viewChanged(now)]
      case MembershipEventKind.LocalOffer:
        return this.takeOffer(now, event)
      default:
        return exhaustive(event)
    }
  }

  override tick(now: number): readonly MembershipAction[] {
    const lost = [...this.peers.values()].filter((peer) => peer.checkSilence(now))
    this.count.instancesLost += lost.length
    const actions: MembershipAction[] = lost.map((peer) => ({
      kind: MembershipActionKind.InstanceLost,
      instance: peer.known.instance,
      boot: peer.currentBoot,
    }))
    if (lost.length > 0 || this.hasNews) actions.push(this.viewChanged(now))
    actions.push(...this.sendDue(now))
    return actions
  }

  /** All instances that the settings name, this one first. */
  view(now: number): readonly InstanceView[] {
    return [this.selfView(now), ...[...this.peers.values()].map((peer) => peer.view())]
  }

  private takeHeartbeat(
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
    const verdict = peer.takeHeartbeat(now, boot, heartbeat)
    switch (verdict) {
      case HeartbeatVerdict.Stale:
        this.count.heartbeatsStale++
        return []
      case HeartbeatVerdict.Same:
        return []
      case HeartbeatVerdict.Changed:
        return this.spreadNews(now)
      case HeartbeatVerdict.Found:
        return [
          { kind: MembershipActionKind.InstanceFound, instance: from, boot },
          this.viewChanged(now),
        ]
      default:
        return exhaustive(verdict)
    }
  }

  private noteLink(
    now: number,
    peerName: string,
    up: boolean,
    roundTripMs: number,
  ): readonly MembershipAction[] {
    const peer = this.peers.get(peerName)
    if (peer === undefined) return []
    peer.noteLink(up, roundTripMs)
    // A peer that was just found again should hear of us without waiting for the next heartbeat.
    if (!up) return []
    return [this.send(now, peerName)]
  }

  private takeOffer(
    now: number,
    offer: Extract<MembershipEvent, { kind: MembershipEventKind.LocalOffer }>,
  ): readonly MembershipAction[] {
    const isNews = !sameServices(offer.services, this.services)
    this.services = offer.services
    this.jobsInFlight = offer.jobsInFlight
    this.settingsVersion = offer.settingsVersion
    if (offer.urgent) this.isUrgent = true
    const isStale = now - this.viewedAt >= this.timing.viewMs
    const view = isNews || isStale ? [this.viewChanged(now)] : []
    return [...view, ...this.sendDue(now)]
  }

  /** News of many instances that come close together make one view. */
  private spreadNews(now: number): readonly MembershipAction[] {
    if (now - this.viewedAt >= this.timing.viewGapMs) return [this.viewChanged(now)]
    this.hasNews = true
    return []
  }

  private sendDue(now: number): readonly MembershipAction[] {
    const isUrgentDue = this.isUrgent && now - this.urgentSentAt >= this.timing.urgentGapMs
    const isNearDue = isUrgentDue || now >= this.nearDueAt
    const isFarDue = isUrgentDue || now >= this.farDueAt
    if (isUrgentDue) {
      this.isUrgent = false
      this.urgentSentAt = now
    }
    if (isNearDue) this.nearDueAt = now + this.timing.heartbeatMs
    if (isFarDue) this.farDueAt = now + this.timing.farHeartbeatMs
    return [...this.peers.values()]
      .filter((peer) => (this.isNear(peer) ? isNearDue : isFarDue))
      .map((peer) => this.send(now, peer.known.instance))
  }

  private isNear(peer: PeerRecord): boolean {
    return peer.known.zone === this.options.zone
  }

  private send(_now: number, to: string): MembershipAction {
    this.count.heartbeatsSent++
    return { kind: MembershipActionKind.Send, to, envelope: this.heartbeat() }
  }

  private heartbeat(): Envelope {
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

  private viewChanged(now: number): MembershipAction {
    this.viewedAt = now
    this.hasNews = false
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
