import type { InstanceView } from '@cherryhitch/model'
import type { InstanceHeartbeat, ServiceSummary } from '@cherryhitch/protocol'
import { InstanceState } from '@cherryhitch/protocol'
import type { KnownInstance, MembershipTiming } from './MembershipOptions'
import { sameServices } from './sameServices'

/** Whether a heartbeat was news. @internal */
export enum HeartbeatVerdict {
  /** The first one of a boot, or after a silence. */
  Found = 'found',
  /** It changes what the peer offers or its state. */
  Changed = 'changed',
  /** The peer lives on, nothing else is new. */
  Same = 'same',
  /** It belongs to an earlier boot, or arrived late or twice. */
  Stale = 'stale',
}

/** What is known of one peer. Owns the decision whether it lives. @internal */
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

  takeHeartbeat(now: number, boot: number, heartbeat: InstanceHeartbeat): HeartbeatVerdict {
    if (boot < this.boot) return HeartbeatVerdict.Stale
    if (boot === this.boot && heartbeat.sequence <= this.sequence) return HeartbeatVerdict.Stale
    const isFound = boot > this.boot || !this.alive
    const isChanged = this.differs(heartbeat)
    this.boot = boot
    this.sequence = heartbeat.sequence
    this.state = heartbeat.state
    this.services = heartbeat.services
    this.endpointAddress = heartbeat.endpointAddress
    this.settingsVersion = heartbeat.settingsVersion
    this.heardAt = now
    this.alive = true
    if (isFound) return HeartbeatVerdict.Found
    return isChanged ? HeartbeatVerdict.Changed : HeartbeatVerdict.Same
  }

  noteLink(up: boolean, roundTripMs: number): void {
    this.linkUp = up
    if (up) this.roundTripMs = roundTripMs
  }

  /** The first round trip of a link includes its set-up; later ones tell the distance. */
  noteRoundTrip(roundTripMs: number): void {
    this.roundTripMs = roundTripMs
  }

  /** Calls the peer lost when it was silent for too long. @returns true when that is new */
  checkSilence(now: number): boolean {
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

  private differs(heartbeat: InstanceHeartbeat): boolean {
    return (
      heartbeat.state !== this.state ||
      heartbeat.settingsVersion !== this.settingsVersion ||
      heartbeat.endpointAddress !== this.endpointAddress ||
      !sameServices(heartbeat.services, this.services)
    )
  }
}
