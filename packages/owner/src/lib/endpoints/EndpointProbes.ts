import { OwnerActionKind } from '../OwnerAction'
import type { OwnerContext } from '../OwnerContext'
import type { EndpointRecord } from './EndpointRecord'
import { EndpointReach } from './EndpointRecord'

const INITIAL_BACKOFF_MS = 50
const MAX_BACKOFF_MS = 2000

/** Probes silent or refusing endpoints on a new connection. @internal */
export class EndpointProbes {
  constructor(private readonly ctx: OwnerContext) {}

  /** Probes an endpoint that has gone silent, and repeats failed probes. */
  check(now: number, record: EndpointRecord): void {
    const { controlTimeoutMs, suspectAfterMs } = this.ctx.timing
    const sentAt = record.probeSentAt
    if (sentAt !== undefined) {
      if (now - sentAt >= controlTimeoutMs) this.onProbeEnded(now, record, false)
      return
    }
    if (record.reach === EndpointReach.Unreachable) {
      if (now >= record.nextProbeAt) this.sendProbe(now, record)
      return
    }
    const heardAt = Math.max(record.lastHeartbeatAt, record.probedAliveAt)
    if (record.owned && now - heardAt >= suspectAfterMs) this.sendProbe(now, record)
  }

  /** Withholds work until a probe succeeds, after a lost, refused or unanswered request. */
  suspect(now: number, record: EndpointRecord): void {
    if (record.reach === EndpointReach.Unreachable) return
    record.reach = EndpointReach.Suspect
    if (record.probeSentAt === undefined) this.sendProbe(now, record)
  }

  /** Pauses dispatch with growing backoff, after a refusal despite an apparently free slot. */
  backOff(now: number, record: EndpointRecord): void {
    const backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** record.refusals)
    record.refusals++
    record.backoffUntil = now + backoffMs
  }

  onProbeEnded(now: number, record: EndpointRecord, alive: boolean): void {
    if (record.probeSentAt === undefined) {
      this.ctx.counters.lateAnswers++
      return
    }
    record.probeSentAt = undefined
    record.reach = alive ? EndpointReach.Reachable : EndpointReach.Unreachable
    if (alive) {
      record.probedAliveAt = now
      record.scheduleCheck(now)
    } else record.nextProbeAt = now + this.ctx.timing.recheckMs
    this.ctx.refresh(record)
  }

  private sendProbe(now: number, record: EndpointRecord): void {
    record.probeSentAt = now
    if (record.reach === EndpointReach.Reachable) record.reach = EndpointReach.Suspect
    this.ctx.counters.probes++
    const { endpoint, address } = record
    this.ctx.outbox.push({ kind: OwnerActionKind.Probe, endpoint, address })
  }
}
