import { OwnerActionKind } from '../OwnerAction'
import type { OwnerContext } from '../OwnerContext'
import type { EndpointRecord } from './EndpointRecord'
import { EndpointReach } from './EndpointRecord'

const FIRST_PAUSE_MS = 50
const MAX_PAUSE_MS = 2000

/** Finds out on a new connection whether a silent or refusing endpoint answers. @internal */
export class EndpointProbes {
  constructor(private readonly ctx: OwnerContext) {}

  /** Looks for silence, and repeats probes of an endpoint that did not answer. */
  tend(now: number, record: EndpointRecord): void {
    const { askTimeoutMs, suspectAfterMs } = this.ctx.timing
    const askedAt = record.probeAskedAt
    if (askedAt !== undefined) {
      if (now - askedAt >= askTimeoutMs) this.ended(now, record, false)
      return
    }
    if (record.reach === EndpointReach.Unreachable) {
      if (now >= record.nextProbeAt) this.ask(now, record)
      return
    }
    const heardAt = Math.max(record.lastHeartbeatAt, record.probedAliveAt)
    if (record.owned && now - heardAt >= suspectAfterMs) this.ask(now, record)
  }

  /** A request was lost or refused, or a question unanswered: no new work until a probe answers. */
  suspect(now: number, record: EndpointRecord): void {
    if (record.reach === EndpointReach.Unreachable) return
    record.reach = EndpointReach.Suspect
    if (record.probeAskedAt === undefined) this.ask(now, record)
  }

  /** It refused though it seemed to have a free slot: it gets a pause that grows. */
  refused(now: number, record: EndpointRecord): void {
    const pause = Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** record.refusals)
    record.refusals++
    record.pausedUntil = now + pause
  }

  ended(now: number, record: EndpointRecord, alive: boolean): void {
    if (record.probeAskedAt === undefined) {
      this.ctx.counters.lateAnswers++
      return
    }
    record.probeAskedAt = undefined
    record.reach = alive ? EndpointReach.Reachable : EndpointReach.Unreachable
    if (alive) {
      record.probedAliveAt = now
      record.due(now)
    } else record.nextProbeAt = now + this.ctx.timing.recheckMs
    this.ctx.refresh(record)
  }

  private ask(now: number, record: EndpointRecord): void {
    record.probeAskedAt = now
    if (record.reach === EndpointReach.Reachable) record.reach = EndpointReach.Suspect
    this.ctx.counters.probes++
    const { endpoint, address } = record
    this.ctx.outbox.push({ kind: OwnerActionKind.Probe, endpoint, address })
  }
}
