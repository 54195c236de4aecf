import { HoldFailure } from '@cherryhitch/protocol'
import type { HoldFault } from '@cherryhitch/protocol'
import type { DispatchCore } from '../DispatchCore'
import type { EndpointRecord } from './EndpointRecord'

/** Beyond this many misses in a row an endpoint is asked at a slower pace. */
const QUICK_RETRIES = 5
const SLOW_RETRY_FACTOR = 8

/**
 * Keeps one question open at each endpoint: it renews the lease of what runs there, and its answer
 * comes as soon as a run ends.
 *
 * @internal
 */
export class LeaseLoop {
  constructor(private readonly core: DispatchCore) {}

  /** Asks every endpoint that owes no answer. */
  tick(now: number): void {
    for (const endpoint of this.core.endpoints.all()) this.ask(now, endpoint)
  }

  ask(now: number, endpoint: EndpointRecord): void {
    const { token, timing } = this.core
    if (token === undefined || endpoint.isReplaced) return
    if (endpoint.holdSentAt !== undefined || now < endpoint.nextHoldAt) return
    const leaseEndsAt = this.leaseEnd(now, endpoint)
    // The first answers are wanted at once: they tell what runs, and the endpoint's clock.
    const isKnown = endpoint.isAdopted && endpoint.missedHolds === 0 && leaseEndsAt !== undefined
    const waitMs = isKnown ? timing.holdWaitMs : 0
    endpoint.holdSentAt = now
    if (leaseEndsAt !== undefined) {
      endpoint.leaseEndsAt = Math.max(endpoint.leaseEndsAt, leaseEndsAt)
    }
    const { acknowledgedEnd } = endpoint
    const lease = leaseEndsAt === undefined ? {} : { leaseEndsAt }
    const value = { ...lease, acknowledgedEnd, waitMs }
    const timeoutMs = waitMs + timing.answerSlackMs
    this.core.order(now, endpoint, { timeoutMs, order: { case: 'hold', value } })
  }

  /**
   * Endpoint's time until which orders may let its runs go on; undefined when its clock is not
   * known, or no majority has followed this leader lately enough.
   */
  leaseEnd(now: number, endpoint: EndpointRecord): number | undefined {
    return this.orderEnd(now, endpoint, this.core.timing.leaseMs)
  }

  /** The same for an order that is valid for a given time at most. */
  orderEnd(now: number, { clock }: EndpointRecord, validMs: number): number | undefined {
    if (!clock.isKnown) return undefined
    const end = Math.min(clock.at(now) + validMs, clock.at(this.core.ordersEndAt))
    return end <= clock.at(now) ? undefined : Math.floor(end)
  }

  noteAnswer(now: number, endpoint: EndpointRecord, clockMs: number): void {
    endpoint.holdSentAt = undefined
    endpoint.missedHolds = 0
    endpoint.answeredAt = now
    endpoint.nextHoldAt = now
    endpoint.clock.note(now, clockMs)
  }

  noteFailure(now: number, endpoint: EndpointRecord, { failure, detail }: HoldFault): void {
    endpoint.holdSentAt = undefined
    endpoint.missedHolds++
    this.core.counters.holds_missed++
    const slow = endpoint.missedHolds > QUICK_RETRIES ? SLOW_RETRY_FACTOR : 1
    endpoint.nextHoldAt = now + this.core.timing.retryHoldMs * slow
    if (failure === HoldFailure.REPLACED) endpoint.isReplaced = true
    if (endpoint.missedHolds > 1 && failure === HoldFailure.NO_ANSWER) return
    const { id, notice } = endpoint
    const answeredMsAgo = Math.round(now - endpoint.answeredAt)
    this.core.log('an endpoint gave no report', {
      endpoint: id,
      address: notice.address,
      failure: HoldFailure[failure],
      detail,
      answeredMsAgo,
      runs: endpoint.runs.size,
    })
  }

  /** True when everything that was ever ordered there has surely ended by itself. */
  hasLapsed(now: number, endpoint: EndpointRecord): boolean {
    return endpoint.isReplaced || endpoint.clock.isPast(now, endpoint.leaseEndsAt)
  }
}
