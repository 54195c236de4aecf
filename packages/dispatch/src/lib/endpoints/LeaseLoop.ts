import { HoldFailure, makeHoldOrder } from '@cherryhitch/protocol'
import type { HoldFault } from '@cherryhitch/protocol'
import type { DispatchCore } from '../DispatchCore'
import type { EndpointRecord, PendingPoll } from './EndpointRecord'

/** After more consecutive failures than this, an endpoint is polled at a lower rate. */
const QUICK_RETRIES = 5
const SLOW_RETRY_FACTOR = 8

/**
 * Keeps one hold (a long poll) open at each endpoint. A hold renews the lease of the runs there,
 * and is answered as soon as a run ends.
 *
 * @internal
 */
export class LeaseLoop {
  constructor(private readonly core: DispatchCore) {}

  /** Opens a hold at every endpoint that has none pending. */
  tick(now: number): void {
    for (const endpoint of this.core.endpoints.all()) this.openHold(now, endpoint)
  }

  /** Opens a hold at an endpoint, unless one is pending or the next one is not due yet. */
  openHold(now: number, endpoint: EndpointRecord): void {
    if (endpoint.hold !== undefined || now < endpoint.nextHoldAt) return
    if (!this.core.serves(endpoint)) return
    const { timing } = this.core
    // The first hold is answered immediately: it shows what runs there, and the endpoint's clock.
    const isKnown = endpoint.isSynced && endpoint.unanswered === 0 && endpoint.clock.isKnown
    const knownWaitMs = endpoint.runs.size === 0 ? timing.idleHoldWaitMs : timing.holdWaitMs
    const waitMs = isKnown ? knownWaitMs : 0
    this.core.counters.holds++
    endpoint.hold = this.#sendHold(now, endpoint, waitMs, waitMs + timing.answerSlackMs)
  }

  /**
   * Polls an endpoint for an immediate answer while its hold is still open. The hold's answer may
   * have been lost, which is detected only after 370 ms; the shortest jobs have a shorter latency
   * objective than that.
   */
  pollNow(now: number, endpoint: EndpointRecord): void {
    if (endpoint.poll !== undefined || !endpoint.isSynced) return
    this.core.counters.looks++
    endpoint.poll = this.#sendHold(now, endpoint, 0, endpoint.roundTrip.timeoutMs)
  }

  #sendHold(
    now: number,
    endpoint: EndpointRecord,
    waitMs: number,
    timeoutMs: number,
  ): PendingPoll | undefined {
    if (this.core.term === undefined || endpoint.isReplaced) return undefined
    // The lease of an endpoint that may be unreachable is not renewed: it would then never expire,
    // and the tasks there could never be restarted elsewhere.
    const isRenewed = endpoint.unanswered === 0 && !this.core.awaitsOtherRuns(endpoint)
    const leaseEndsAt = isRenewed ? this.leaseEnd(now, endpoint) : undefined
    if (leaseEndsAt !== undefined) {
      endpoint.leaseEndsAt = Math.max(endpoint.leaseEndsAt, leaseEndsAt)
    }
    // A later incarnation of the machine might receive it and discard ends that were not read yet.
    const isSure = endpoint.unanswered === 0 && !endpoint.isPossiblyReplaced
    const acknowledgedEnd = isSure ? endpoint.acknowledgedEnd : 0
    const value = makeHoldOrder(leaseEndsAt, acknowledgedEnd, waitMs)
    const id = this.core.sendOrder(now, endpoint, { timeoutMs, order: { case: 'hold', value } })
    return { id, sentAt: now }
  }

  /**
   * Endpoint time until which orders may let its runs continue; undefined if its clock is not
   * known, or if this leader was not confirmed by a majority recently enough.
   */
  leaseEnd(now: number, endpoint: EndpointRecord): number | undefined {
    return this.orderEnd(now, endpoint, this.core.timing.leaseMs)
  }

  /** Like `leaseEnd`, for an order that is valid for at most the given time. */
  orderEnd(now: number, endpoint: EndpointRecord, validMs: number): number | undefined {
    const { clock } = endpoint
    if (!clock.isKnown) return undefined
    const { zone, ordersExpireAt } = this.core
    // No majority confirms a zone dispatcher: its token alone decides whether its orders count.
    const expiresAt = zone === undefined ? clock.at(ordersExpireAt) : Infinity
    const end = Math.min(clock.at(now) + validMs, expiresAt)
    return end <= clock.at(now) ? undefined : Math.floor(end)
  }

  /** An endpoint answered a hold or a poll, which shows that it is reachable. */
  noteAnswer(now: number, endpoint: EndpointRecord, orderId: number, clockMs: number): void {
    if (endpoint.poll?.id === orderId) {
      endpoint.roundTrip.addSample(now - endpoint.poll.sentAt)
      endpoint.poll = undefined
    } else if (endpoint.hold?.id === orderId) {
      endpoint.hold = undefined
    }
    endpoint.unanswered = 0
    endpoint.fencedSince = undefined
    endpoint.answeredAt = now
    endpoint.nextHoldAt = now
    endpoint.clock.addSample(now, clockMs)
  }

  /**
   * Opens the next hold after an endpoint's report was processed: at once if tasks run there,
   * otherwise together with other idle endpoints.
   */
  reopenHold(now: number, endpoint: EndpointRecord): void {
    if (endpoint.runs.size === 0) {
      const { idleBatchIntervalMs } = this.core.timing
      endpoint.nextHoldAt = Math.ceil(now / idleBatchIntervalMs) * idleBatchIntervalMs
    }
    this.openHold(now, endpoint)
  }

  /**
   * Discards a hold that was opened before a poll, when the poll reported an end that the hold
   * should have reported: its answer was lost.
   */
  discardMissedHold(poll: PendingPoll, endpoint: EndpointRecord): void {
    const { hold } = endpoint
    if (hold !== undefined && hold.sentAt < poll.sentAt) endpoint.hold = undefined
  }

  noteFailure(now: number, endpoint: EndpointRecord, orderId: number, fault: HoldFault): void {
    if (endpoint.poll?.id === orderId) endpoint.poll = undefined
    else if (endpoint.hold?.id === orderId) endpoint.hold = undefined
    // A later hold or poll has been answered in the meantime.
    else return
    const { failure, detail } = fault
    this.core.counters.holds_missed++
    this.noteUnanswered(now, endpoint)
    // It answers another leader, so it must not count among endpoints that were lost together.
    if (failure === HoldFailure.FENCED) {
      endpoint.silentSince = -Infinity
      endpoint.fencedSince ??= now
    }
    const slow = endpoint.unanswered > QUICK_RETRIES ? SLOW_RETRY_FACTOR : 1
    if (endpoint.hold === undefined) {
      endpoint.nextHoldAt = now + this.core.timing.holdRetryDelayMs * slow
    }
    this.#noteReplacement(now, endpoint, failure)
    if (endpoint.unanswered > 1 && failure === HoldFailure.NO_ANSWER) return
    const { id, notice } = endpoint
    const answeredMsAgo = Math.round(now - endpoint.answeredAt)
    this.core.log('endpoint did not report its runs', {
      endpoint: id,
      address: notice.address,
      failure: HoldFailure[failure],
      detail,
      answeredMsAgo,
      unanswered: endpoint.unanswered,
      runs: endpoint.runs.size,
    })
  }

  #noteReplacement(now: number, endpoint: EndpointRecord, failure: HoldFailure): void {
    const { endpoints, timing } = this.core
    if (failure === HoldFailure.REPLACED) endpoint.replace()
    // The restarted process has the same id: recent orders may have taken effect there, and its
    // reports will show them.
    if (failure === HoldFailure.RESTARTED) endpoint.replace(now + timing.endpointExpiryMs)
    if (failure === HoldFailure.FENCED) endpoints.raiseIncarnationNumber(endpoint)
  }

  /** Records an unanswered call: no task is started there until a later call is answered. */
  noteUnanswered(now: number, endpoint: EndpointRecord): void {
    if (endpoint.unanswered === 0) endpoint.silentSince = now
    endpoint.unanswered++
    this.core.lastLostOrderAt = now
  }

  /**
   * True if everything ever ordered there is certain to have ended: the lease had expired when a
   * majority last confirmed this leader. Expiry after that time proves nothing, since the next
   * leader may have renewed the lease; a partitioned leader would restart tasks that are still
   * running. For a zone dispatcher, a leader may have taken the endpoint at any time.
   */
  hasLapsed(now: number, endpoint: EndpointRecord): boolean {
    const { confirmedAt } = this.core
    if (endpoint.isReplaced) return endpoint.isQuiescent(now)
    if (this.core.zone !== undefined) return false
    return endpoint.clock.isPast(confirmedAt, endpoint.leaseEndsAt)
  }
}
