import { quantile } from '../util/quantile'
import { EndpointHealth, HealthFailure, HealthState } from './EndpointHealth'
import type { HealthObservation } from './EndpointHealth'
import { EndpointHealthRecord } from './EndpointHealthRecord'
import { WeightedFailures } from './WeightedFailures'
import { JobFailureHistory } from './JobFailureHistory'

/** @public */
export interface EjectingHealthOptions {
  /** Failure score at which an endpoint is ejected while its peers work. */
  readonly ejectScore: number
  /** Largest share of a service's endpoints that may be ejected at once, 0 to 1. */
  readonly maxEjectedShare: number
  /** Length of the first ejection, in milliseconds. */
  readonly baseEjectionMs: number
  readonly maxEjectionMs: number
  /** Successful tasks needed to end a probation. */
  readonly probationSuccesses: number
  /** Age at which the weight of a failure has decayed to 1/e, in milliseconds. */
  readonly tauMs: number
  /** Factor by which each success reduces the weight of earlier failures, 0 to 1. */
  readonly successDecayFactor: number
}

/** A refusal is weaker evidence than a failed task: the announced slot count may be out of date. */
const REFUSAL_WEIGHT = 0.5
/** Limits the refusals of one job, since the cause may be that the endpoint can't run this job. */
const MAX_REFUSAL_WEIGHT_PER_JOB = 2
/**
 * Failure rate that counts as normal however well the peers work. At this rate, five failures in a
 * row have a probability of 3e-7.
 */
const BASELINE_FAILURE_RATE = 0.05
/** Quantile of the peers that an endpoint is compared with: the best quarter. */
const PEER_QUANTILE = 0.25
/** Peers with fewer recent results are left out of the comparison of failure rates. */
const MIN_OBSERVATIONS = 3
/** An endpoint with a lower score from other jobs has not failed any of them recently. */
const HEALTHY_SCORE = 0.5

/**
 * Ejects endpoints whose recent failures score too high while their peers complete work of the same
 * service.
 *
 * - A failed job counts once per endpoint. It stops counting once it has failed at two endpoints,
 *   at least one of them otherwise healthy, and has succeeded nowhere.
 * - The score required for an ejection rises with the failure rate and the scores of the better
 *   peers, so that an outage of a shared dependency ejects no endpoint.
 * - Only a limited share of a service's endpoints is ejected. Once that limit is reached, a failing
 *   endpoint is put on probation instead, as long as at least one peer is healthy.
 * - An ejection is followed by probation. A failure during probation ejects the endpoint again, for
 *   longer.
 *
 * @public
 */
export abstract class EjectingHealth extends EndpointHealth {
  private readonly records = new Map<string, EndpointHealthRecord>()
  private readonly byService = new Map<string, Set<EndpointHealthRecord>>()
  private readonly jobHistory = new JobFailureHistory()
  private lastObservedAt = 0

  constructor(protected readonly options: EjectingHealthOptions) {
    super()
  }

  /** @param earlier - number of earlier ejections, decayed with age */
  protected abstract ejectionMs(earlier: number): number

  override add(endpoint: string, service: string): void {
    if (this.records.get(endpoint)?.service === service) return
    this.remove(endpoint)
    const failures = new WeightedFailures(this.options.tauMs, this.options.successDecayFactor)
    const record = new EndpointHealthRecord(endpoint, service, failures)
    this.records.set(endpoint, record)
    const peers = this.byService.get(service) ?? new Set()
    this.byService.set(service, peers.add(record))
  }

  override remove(endpoint: string): void {
    const record = this.records.get(endpoint)
    if (record === undefined) return
    this.records.delete(endpoint)
    const peers = this.byService.get(record.service)
    peers?.delete(record)
    if (peers?.size === 0) this.byService.delete(record.service)
    this.releaseExcessEjections(record.service)
  }

  override recordSuccess(now: number, seen: HealthObservation): void {
    this.lastObservedAt = Math.max(this.lastObservedAt, now)
    this.jobHistory.recordSuccess(seen.jobId)
    const record = this.records.get(seen.endpoint)
    if (record === undefined) return
    record.successes.add(now, 1)
    record.weightedFailures.decayOnSuccess()
    if (record.state(now) !== HealthState.Probation) return
    record.recordProbationSuccess(this.options.probationSuccesses)
  }

  override recordFailure(now: number, seen: HealthObservation, failure: HealthFailure): void {
    this.lastObservedAt = Math.max(this.lastObservedAt, now)
    const record = this.records.get(seen.endpoint)
    if (record === undefined) return
    record.failures.add(now, 1)
    if (failure === HealthFailure.Refused) {
      record.weightedFailures.add(now, seen.jobId, REFUSAL_WEIGHT, MAX_REFUSAL_WEIGHT_PER_JOB)
    } else {
      this.jobHistory.recordFailure(seen.jobId, seen.endpoint)
      record.weightedFailures.add(now, seen.jobId, 1, 1)
      if (this.isJobFaulty(now, seen.jobId)) this.withdrawJob(seen.jobId)
    }
    this.evaluate(now, record)
  }

  override state(now: number, endpoint: string): HealthState {
    this.lastObservedAt = Math.max(this.lastObservedAt, now)
    return this.records.get(endpoint)?.state(now) ?? HealthState.Healthy
  }

  /** A job that failed at two endpoints is at fault itself, unless all of these fail others too. */
  private isJobFaulty(now: number, jobId: string): boolean {
    const endpoints = this.jobHistory.failedOnlyAt(jobId)
    if (endpoints.length < 2) return false
    return endpoints.some((endpoint) => {
      const others = this.records.get(endpoint)?.weightedFailures.score(now, jobId) ?? 0
      return others < HEALTHY_SCORE
    })
  }

  private withdrawJob(jobId: string): void {
    for (const endpoint of this.jobHistory.failedOnlyAt(jobId)) {
      this.records.get(endpoint)?.weightedFailures.removeJob(jobId)
    }
  }

  private evaluate(now: number, record: EndpointHealthRecord): void {
    const state = record.state(now)
    if (state === HealthState.Ejected) return
    const score = record.weightedFailures.score(now)
    const failedProbation = state === HealthState.Probation && score > 0
    if (!failedProbation && score < this.options.ejectScore) return
    if (!failedProbation && score < this.requiredScore(now, record)) return
    if (this.mayEject(now, record)) {
      const lengthMs = this.ejectionMs(record.ejections.read(now))
      record.eject(now, Math.min(this.options.maxEjectionMs, lengthMs))
      return
    }
    if (this.hasHealthyPeer(now, record)) record.startProbation()
  }

  /** A score that an endpoint hardly ever reaches at the failure rate of its better peers. */
  private requiredScore(now: number, record: EndpointHealthRecord): number {
    const peers = this.peersOf(record)
    const rates = peers.flatMap((peer) => peer.failureRate(now, MIN_OBSERVATIONS) ?? [])
    const peerRate = quantile(rates, PEER_QUANTILE) ?? 0
    if (peerRate >= 1) return Infinity
    const normalRate = Math.max(peerRate, BASELINE_FAILURE_RATE)
    // n failures in a row have the probability normalRate^n. The factor scales n so that this
    // probability is the same as for ejectScore failures at the baseline rate.
    const factor = Math.log(BASELINE_FAILURE_RATE) / Math.log(normalRate)
    return this.options.ejectScore * factor + 2 * this.betterPeersScore(now, peers)
  }

  /** Current score of the better peers; their failure rates lag when an outage begins. */
  private betterPeersScore(now: number, peers: readonly EndpointHealthRecord[]): number {
    const scores = peers.map((peer) => {
      const isTrusted = peer.state(now) === HealthState.Healthy
      return isTrusted ? peer.weightedFailures.score(now) : this.options.ejectScore
    })
    return quantile(scores, PEER_QUANTILE) ?? 0
  }

  private peersOf(record: EndpointHealthRecord): readonly EndpointHealthRecord[] {
    return [...(this.byService.get(record.service) ?? [])].filter((peer) => peer !== record)
  }

  private hasHealthyPeer(now: number, record: EndpointHealthRecord): boolean {
    return this.peersOf(record).some((peer) => peer.state(now) === HealthState.Healthy)
  }

  private mayEject(now: number, record: EndpointHealthRecord): boolean {
    return this.ejectedRecords(now, record.service).length + 1 <= this.ejectedLimit(record.service)
  }

  private ejectedLimit(service: string): number {
    const endpoints = this.byService.get(service)?.size ?? 0
    return Math.floor(endpoints * this.options.maxEjectedShare)
  }

  private ejectedRecords(now: number, service: string): EndpointHealthRecord[] {
    const records = [...(this.byService.get(service) ?? [])]
    return records.filter((record) => record.state(now) === HealthState.Ejected)
  }

  /** Ends ejections that exceed the limit, which falls when endpoints are removed. */
  private releaseExcessEjections(service: string): void {
    const ejected = this.ejectedRecords(this.lastObservedAt, service)
    const excess = ejected.length - this.ejectedLimit(service)
    for (const record of ejected.slice(0, Math.max(0, excess))) record.endEjection()
  }
}
