import type { InstanceView } from '@cherryhitch/model'
import type { InstanceHeartbeat, ServiceSummary } from '@cherryhitch/protocol'
import { InstanceState } from '@cherryhitch/protocol'
import type { KnownInstance, MembershipTiming } from './MembershipOptions'
import { sameServices } from './sameServices'

/** Effect of a heartbeat on the record of its sender. @internal */
export enum HeartbeatResult {
  /** The first heartbeat of a boot, or the first since the peer was considered lost. */
  Found = 'found',
  /** It changes the peer's state, offer or another published value. */
  Changed = 'changed',
  /** It confirms that the peer is alive and changes nothing else. */
  Same = 'same',
  /** It is a duplicate, arrived out of order, or belongs to an earlier boot. */
  Stale = 'stale',
}

/** The last known state of one peer. Decides whether the peer is alive. @internal */
export class PeerRecord {
  private boot = 0
  private sequence = -1
  private state = InstanceState.STARTING
  private services: readonly ServiceSummary[] = []
  private heardAt = Number.NEGATIVE_INFINITY
  private linkUp = false
  private roundTripMs = 0
  private endpointAddress = ''
  private settingsVersion = 0
  private alive = false

  constructor(
    readonly known: KnownInstance,
    private readonly timing: MembershipTiming,
  ) {}

  get currentBoot(): number {
    return this.boot
  }

  get isAlive(): boolean {
    return this.alive
  }

  applyHeartbeat(now: number, boot: number, heartbeat: InstanceHeartbeat): HeartbeatResult {
    if (boot < this.boot) return HeartbeatResult.Stale
    if (boot === this.boot && heartbeat.sequence <= this.sequence) return HeartbeatResult.Stale
    const isFound = boot > this.boot || !this.alive
    const isChanged = this.isChangedBy(heartbeat)
    this.boot = boot
    this.sequence = heartbeat.sequence
    this.state = heartbeat.state
    this.services = heartbeat.services
    this.endpointAddress = heartbeat.endpointAddress
    this.settingsVersion = heartbeat.settingsVersion
    this.heardAt = now
    this.alive = true
    if (isFound) return HeartbeatResult.Found
    return isChanged ? HeartbeatResult.Changed : HeartbeatResult.Same
  }

  setLink(up: boolean, roundTripMs: number): void {
    this.linkUp = up
    if (up) this.roundTripMs = roundTripMs
  }

  /**
   * Replaces the round-trip time that was measured when the link came up, which includes the time
   * for connection setup.
   */
  setRoundTrip(roundTripMs: number): void {
    this.roundTripMs = roundTripMs
  }

  /**
   * Marks the peer as lost if it has sent no heartbeat for too long.
   *
   * @returns true if the peer was alive until now
   */
  expireIfSilent(now: number): boolean {
    if (!this.alive) return false
    const limit = this.linkUp ? this.timing.timeoutMs : this.timing.linkDownTimeoutMs
    if (now - this.heardAt <= limit) return false
    this.alive = false
    return true
  }

  view(): InstanceView {
    return {
      instance: this.known.instance,
      boot: this.boot,
      zone: this.known.zone,
      state: this.state,
      alive: this.alive,
      self: false,
      services: this.services,
      heardAt: this.heardAt,
      roundTripMs: this.roundTripMs,
      endpointAddress: this.endpointAddress,
      settingsVersion: this.settingsVersion,
    }
  }

  private isChangedBy(heartbeat: InstanceHeartbeat): boolean {
    return (
      heartbeat.state !== this.state ||
      heartbeat.settingsVersion !== this.settingsVersion ||
      heartbeat.endpointAddress !== this.endpointAddress ||
      !sameServices(heartbeat.services, this.services)
    )
  }
}
