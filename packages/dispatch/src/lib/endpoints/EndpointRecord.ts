import { NoticeState } from '@cherryhitch/protocol'
import type { EndpointNotice } from '@cherryhitch/protocol'
import type { Run } from '../runs/Run'
import { EndpointClock } from './EndpointClock'
import { RoundTripEstimator } from './RoundTripEstimator'
import type { TimeoutBounds } from './RoundTripEstimator'

/**
 * How long a slowness value is cached, in milliseconds: it changes by a few percent a second at
 * most.
 */
const SLOWNESS_CACHE_MS = 200

/**
 * Largest plausible gap between two sequence numbers. They count the heartbeats of one incarnation,
 * a few a second, so a larger gap was not produced by the endpoint. Accepting it would cause all
 * later notices of the endpoint to be rejected as outdated.
 */
const MAX_SEQUENCE_STEP = 1e10

/** A hold or poll that is not answered yet. @internal */
export interface PendingPoll {
  readonly id: number
  readonly sentAt: number
}

/** Unused part of a capacity. @internal */
export interface FreeCapacity {
  cpuMillis: number
  memoryMb: number
  gpus: number
}

/** @internal */
export interface EndpointRecordOptions {
  /** Maximum rate at which its clock lags behind the local one, as a fraction. */
  readonly drift: number
  readonly roundTrip: TimeoutBounds
  /** Called on every change that may affect whether it is given tasks. */
  readonly onChange?: (record: EndpointRecord) => void
}

/**
 * State of one incarnation of an endpoint: its latest notice, its pending holds and polls, its
 * lease and its runs.
 *
 * @internal
 */
export class EndpointRecord {
  readonly clock: EndpointClock
  /** Id of the machine, shared by all of its incarnations. */
  readonly machine: string
  readonly #runs = new Map<string, Run>()
  readonly #onChange: (record: EndpointRecord) => void
  #broadcastAt: number
  #isSynced = false
  /** Position of the last run end that was processed. */
  acknowledgedEnd = 0
  /** Latest endpoint time until which anything may run there under an order from this instance. */
  leaseEndsAt = -Infinity
  /** When its first report under the current fencing token was read. */
  syncedAt = Infinity
  /** Pending long poll, which it answers as soon as a run ends. */
  hold: PendingPoll | undefined
  nextHoldAt = 0
  /** Pending poll, which it answers immediately. */
  poll: PendingPoll | undefined
  #unanswered = 0
  /** Endpoint time of its newest report. */
  reportedClockMs = -Infinity
  /** Round-trip time of orders that it answers immediately. */
  readonly roundTrip: RoundTripEstimator
  /**
   * Number of this incarnation in the leader's fencing tokens; the machine refuses orders with a
   * lower one.
   */
  incarnationNumber = 0
  /** Grant in the fencing tokens of this instance's orders; see `makeFencingToken`. */
  grant = 0
  /** Grant to use as soon as no run of this instance is left there. */
  nextGrant: number | undefined
  /** Since when it has refused the fencing token of this instance. */
  fencedSince: number | undefined
  /**
   * When another incarnation of its machine was discovered; cleared when this one answers a hold or
   * poll sent after that.
   */
  #possiblyReplacedAt: number | undefined
  /** Time until which orders for it may still take effect at the machine's next incarnation. */
  #ordersExpireAt = -Infinity
  answeredAt = -Infinity
  /** When a run there last ended in about its expected time. */
  lastTimelyRunAt = -Infinity
  /** When the first of the current consecutive unanswered calls was given up. */
  silentSince = -Infinity
  #pausedUntil = -Infinity
  #isReplaced = false
  #notice: EndpointNotice
  #noticedAt: number
  /** True once two notices agreed on its service, address and zone. */
  #isIdentityConfirmed = false
  /** Cached until the next change: placement reads it far more often. */
  #freeCapacity: FreeCapacity | undefined
  #slowness = { value: 1, readAt: -Infinity }

  constructor(notice: EndpointNotice, now: number, options: EndpointRecordOptions) {
    const { drift, roundTrip, onChange } = options
    this.#onChange = onChange ?? (() => undefined)
    this.roundTrip = new RoundTripEstimator(roundTrip)
    this.#notice = notice
    this.machine = machineOf(notice)
    this.#noticedAt = now - notice.ageMs
    this.#broadcastAt = now
    this.clock = new EndpointClock(drift)
  }

  /** Runs by task name; at most one for each task. */
  get runs(): ReadonlyMap<string, Run> {
    return this.#runs
  }

  /** When it was last broadcast to all instances that may become leader. */
  get broadcastAt(): number {
    return this.#broadcastAt
  }

  set broadcastAt(at: number) {
    this.#broadcastAt = at
    this.noteChange()
  }

  /** True once a report of it was read under the current fencing token. */
  get isSynced(): boolean {
    return this.#isSynced
  }

  set isSynced(isAdopted: boolean) {
    if (this.#isSynced === isAdopted) return
    this.#isSynced = isAdopted
    this.noteChange()
  }

  /** Number of consecutive calls without an answer. */
  get unanswered(): number {
    return this.#unanswered
  }

  set unanswered(calls: number) {
    if (this.#unanswered === calls) return
    this.#unanswered = calls
    this.noteChange()
  }

  /** Time until which no tasks are started there, after a rejected start. */
  get pausedUntil(): number {
    return this.#pausedUntil
  }

  set pausedUntil(until: number) {
    this.#pausedUntil = until
    this.noteChange()
  }

  /** True once another incarnation has taken its place. */
  get isReplaced(): boolean {
    return this.#isReplaced
  }

  /**
   * Marks it as permanently replaced by another incarnation.
   *
   * @param ordersExpireAt - time from which orders for it have no effect, wherever they arrive
   */
  replace(ordersExpireAt = -Infinity): void {
    this.#ordersExpireAt = this.#isReplaced
      ? Math.min(this.#ordersExpireAt, ordersExpireAt)
      : ordersExpireAt
    this.#isReplaced = true
    this.noteChange()
  }

  /**
   * Another incarnation of its machine was discovered: orders for this one may reach that one
   * instead.
   */
  markPossiblyReplaced(now: number): void {
    this.#possiblyReplacedAt = now
    this.noteChange()
  }

  get isPossiblyReplaced(): boolean {
    return this.#possiblyReplacedAt !== undefined
  }

  /** It answered a hold or poll that was sent at the given time. */
  noteAlive(sentAt: number): void {
    if (this.#possiblyReplacedAt === undefined || sentAt < this.#possiblyReplacedAt) return
    this.#possiblyReplacedAt = undefined
    this.noteChange()
  }

  /** True once it was replaced, and nothing that was ordered there still runs or can start. */
  isQuiescent(now: number): boolean {
    return this.#isReplaced && now >= this.#ordersExpireAt
  }

  addRun(run: Run): void {
    this.#runs.set(run.name, run)
    this.noteChange()
  }

  removeRun(run: Run): void {
    if (this.#runs.get(run.name) === run) this.#runs.delete(run.name)
    this.noteChange()
  }

  /** Its runs, its free capacity, its state or its performance has changed. */
  noteChange(): void {
    this.#freeCapacity = undefined
    this.#onChange(this)
  }

  /** Whether a task runs there that is suspected of having crashed an endpoint. */
  get hasSuspectTask(): boolean {
    for (const { task } of this.#runs.values()) if (task?.isSuspect === true) return true
    return false
  }

  /** Whether a run is listed there that this instance didn't start, and whose job it doesn't have. */
  get hasForeignRun(): boolean {
    for (const { task } of this.#runs.values()) if (task === undefined) return true
    return false
  }

  /** Ratio of run times here to those at its peers, cached for `SLOWNESS_CACHE_MS`. */
  slowness(now: number, read: () => number): number {
    if (now - this.#slowness.readAt >= SLOWNESS_CACHE_MS) {
      this.#slowness = { value: read(), readAt: now }
    }
    return this.#slowness.value
  }

  get id(): string {
    return this.#notice.endpoint
  }

  get notice(): EndpointNotice {
    return this.#notice
  }

  /** The notice to send to other instances, with its current age. */
  noticeAt(now: number): EndpointNotice {
    return { ...this.#notice, ageMs: Math.max(0, now - this.#noticedAt) }
  }

  get service(): string {
    return this.#notice.service
  }

  get noticedAt(): number {
    return this.#noticedAt
  }

  /**
   * Applies a notice, unless it is outdated or can't be of this incarnation; returns whether it
   * did.
   */
  applyNotice(now: number, notice: EndpointNotice): boolean {
    if (!this.#accepts(notice)) return false
    const { state, sequence } = notice
    if (state === NoticeState.GONE) {
      // The other fields of a GONE notice carry no information.
      this.#notice = { ...this.#notice, state, sequence }
    } else {
      this.#isIdentityConfirmed = this.#hasSameIdentity(notice)
      this.#notice = notice
    }
    this.#noticedAt = now - notice.ageMs
    this.noteChange()
    return true
  }

  /** Whether no more tasks are started here once a LEAVING or GONE notice is applied. */
  honorsLeaving(notice: EndpointNotice): boolean {
    return this.#accepts(notice) || this.#notice.state !== NoticeState.SERVING
  }

  #accepts(notice: EndpointNotice): boolean {
    if (this.#notice.state === NoticeState.GONE) return false
    if (notice.state === NoticeState.GONE) return true
    if (!isNewerSequence(notice.sequence, this.#notice.sequence)) return false
    return !this.#isIdentityConfirmed || this.#hasSameIdentity(notice)
  }

  /** Whether a notice differs from the latest one in state, identity, labels or capacity. */
  differsFrom(notice: EndpointNotice): boolean {
    const known = this.#notice
    if (notice.state !== known.state || !this.#hasSameIdentity(notice)) return true
    if (notice.labels.join(' ') !== known.labels.join(' ')) return true
    const { cpuMillis = 0, memoryMb = 0, gpus = 0 } = notice.capacity ?? {}
    const capacity = known.capacity
    if (cpuMillis !== capacity?.cpuMillis || memoryMb !== capacity.memoryMb) return true
    return gpus !== capacity.gpus
  }

  /** Service, address and zone never change within one incarnation. */
  #hasSameIdentity({ service, address, zone }: EndpointNotice): boolean {
    const known = this.#notice
    return service === known.service && address === known.address && zone === known.zone
  }

  /** Whether new tasks may be started there. */
  mayStart(now: number): boolean {
    if (this.#notice.state !== NoticeState.SERVING || this.isReplaced) return false
    const isReachable = this.isSynced && this.unanswered === 0 && !this.isPossiblyReplaced
    return isReachable && now >= this.pausedUntil
  }

  freeCapacity(): Readonly<FreeCapacity> {
    this.#freeCapacity ??= this.#computeFreeCapacity()
    return this.#freeCapacity
  }

  #computeFreeCapacity(): FreeCapacity {
    const { cpuMillis = 0, memoryMb = 0, gpus = 0 } = this.#notice.capacity ?? {}
    const free = { cpuMillis, memoryMb, gpus }
    for (const { needs } of this.#runs.values()) {
      if (needs === undefined) return { cpuMillis: 0, memoryMb: 0, gpus: 0 }
      free.cpuMillis -= needs.cpuMillis
      free.memoryMb -= needs.memoryMb
      free.gpus -= needs.gpus
    }
    return free
  }

  /** Discards what is known of its runs, for a start under another fencing token. */
  reset(): void {
    this.#runs.clear()
    this.#isSynced = false
    this.syncedAt = Infinity
    this.hold = undefined
    this.nextHoldAt = 0
    this.poll = undefined
    this.#unanswered = 0
    this.reportedClockMs = -Infinity
    this.acknowledgedEnd = 0
    this.noteChange()
  }
}

/**
 * Returns the machine id of a notice; an endpoint that names no machine counts as one of its own.
 *
 * @internal
 */
export function machineOf({ machine, endpoint }: EndpointNotice): string {
  return machine === '' ? endpoint : machine
}

/** Whether a sequence number belongs to a later notice than the known one. */
function isNewerSequence(sequence: number, known: number): boolean {
  const step = sequence - known
  return step > 0 ? step <= MAX_SEQUENCE_STEP : step < -MAX_SEQUENCE_STEP
}
