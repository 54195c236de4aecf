import { quantile } from '../util/quantile'
import { EndpointHealth, HealthFailure, HealthState } from './EndpointHealth'
import type { HealthObservation } from './EndpointHealth'
import { EndpointRecord } from './EndpointRecord'
import { FailureMarks } from './FailureMarks'
import { JobFailures } from './JobFailures'

/** @public */
export interface EjectingHealthOptions {
  /** Score of failures at which an endpoint is ejected while its peers work. */
  readonly ejectScore: number
  /** Most endpoints of a service that may be ejected at once, as a share. */
  readonly maxEjectedShare: number
  /** Length of a first ejection, in milliseconds. */
  readonly baseEjectionMs: number
  readonly maxEjectionMs: number
  /** Tasks that must work on probation before it ends. */
  readonly probationSuccesses: number
  /** Age at which a failure counts 1/e, in milliseconds. */
  readonly tauMs: number
  /** What each success leaves of the failures before it, 0 to 1. */
  readonly relief: number
}

/** A refusal is a lighter sign than a failed task: the slot counts may just have crossed. */
const REFUSAL_WEIGHT = 0.5
/** Most that the refusals of one job count: it may be the job that an endpoint can't take. */
const REFUSALS_OF_JOB = 2
/** Failed share that is taken for ordinary, however well the peers work: five in a row, 3e-7. */
const ORDINARY_FAILED_SHARE = 0.05
/** Peers that work well enough to compare with: the best quarter of those seen. */
const PEER_QUANTILE = 0.25
const MIN_SEEN = 3
/** Below this, an endpoint has failed no other job lately. */
const SOUND_SCORE = 0.5

/**
 * Ejects endpoints whose recent failures score too high while their peers complete the same
 * service's work.
 *
 * - A job counts once for each endpoint, and not at all once it failed at two, one of them
 *   otherwise sound, and worked nowhere.
 * - The score needed rises with the share that the better peers fail and with their own scores,
 *   so that an outage behind all of them ejects none.
 * - At most a share of a service's endpoints is ejected. Beyond it, a failing endpoint keeps
 *   single tasks, as long as some peer is healthy.
 * - After an ejection come single tasks; a failure there ejects anew, for longer.
 *
 * @public
 */
export abstract class EjectingHealth extends EndpointHealth {
  private readonly records = new Map<string, EndpointRecord>()
  private readonly byService = new Map<string, Set<EndpointRecord>>()
  private readonly jobFailures = new JobFailures()
  private latest = 0

  constructor(protected readonly options: EjectingHealthOptions) {
    super()
  }

  /** @param earlier - earlier ejections, faded with age */
  protected abstract ejectionMs(earlier: number): number

  override add(endpoint: string, service: string): void {
    if (this.records.get(endpoint)?.service === service) return
    this.remove(endpoint)
    const marks = new FailureMarks(this.options.tauMs, this.options.relief)
    const record = new EndpointRecord(endpoint, service, marks)
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
    this.releaseBeyondLimit(record.service)
  }

  override recordSuccess(now: number, seen: HealthObservation): void {
    this.latest = Math.max(this.latest, now)
    this.jobFailures.noteSuccess(seen.jobId)
    const record = this.records.get(seen.endpoint)
    if (record === undefined) return
    record.successes.add(now, 1)
    record.marks.lighten()
    if (record.state(now) !== HealthState.Probation) return
    record.passProbation(this.options.probationSuccesses)
  }

  override recordFailure(now: number, seen: HealthObservation, failure: HealthFailure): void {
    this.latest = Math.max(this.latest, now)
    const record = this.records.get(seen.endpoint)
    if (record === undefined) return
    record.failures.add(now, 1)
    if (failure === HealthFailure.Refused) {
      record.marks.add(now, seen.jobId, REFUSAL_WEIGHT, REFUSALS_OF_JOB)
    } else {
      this.jobFailures.noteFailure(seen.jobId, seen.endpoint)
      record.marks.add(now, seen.jobId, 1, 1)
      if (this.isJobToBlame(now, seen.jobId)) this.withdraw(seen.jobId)
    }
    this.judge(now, record)
  }

  override state(now: number, endpoint: string): HealthState {
    this.latest = Math.max(this.latest, now)
    return this.records.get(endpoint)?.state(now) ?? HealthState.Healthy
  }

  /** Failing at two endpoints speaks against the job, unless both fail other jobs as well. */
  private isJobToBlame(now: number, jobId: string): boolean {
    const endpoints = this.jobFailures.failedOnlyAt(jobId)
    if (endpoints.length < 2) return false
    return endpoints.some((endpoint) => {
      const others = this.records.get(endpoint)?.marks.score(now, jobId) ?? 0
      return others < SOUND_SCORE
    })
  }

  private withdraw(jobId: string): void {
    for (const endpoint of this.jobFailures.failedOnlyAt(jobId)) {
      this.records.get(endpoint)?.marks.withdraw(jobId)
    }
  }

  private judge(now: number, record: EndpointRecord): void {
    const state = record.state(now)
    if (state === HealthState.Ejected) return
    const score = record.marks.score(now)
    const failedProbation = state === HealthState.Probation && score > 0
    if (!failedProbation && score < this.options.ejectScore) return
    if (!failedProbation && score < this.scoreNeeded(now, record)) return
    if (this.mayEject(now, record)) {
      const lengthMs = this.ejectionMs(record.ejections.read(now))
      record.eject(now, Math.min(this.options.maxEjectionMs, lengthMs))
      return
    }
    if (this.hasHealthyPeer(now, record)) record.restrict()
  }

  /** The score that an endpoint failing like its better peers hardly ever reaches. */
  private scoreNeeded(now: number, record: EndpointRecord): number {
    const peers = this.peersOf(record)
    const shares = peers.flatMap((peer) => peer.failedShare(now, MIN_SEEN) ?? [])
    const share = quantile(shares, PEER_QUANTILE) ?? 0
    if (share >= 1) return Infinity
    const ordinary = Math.max(share, ORDINARY_FAILED_SHARE)
    // A run of n failures has the chance share^n; n is chosen to make that the same small chance.
    const stretch = Math.log(ORDINARY_FAILED_SHARE) / Math.log(ordinary)
    return this.options.ejectScore * stretch + 2 * this.peersScore(now, peers)
  }

  /** How badly the better peers do now; their failed shares lag behind when an outage begins. */
  private peersScore(now: number, peers: readonly EndpointRecord[]): number {
    const scores = peers.map((peer) => {
      const isTrusted = peer.state(now) === HealthState.Healthy
      return isTrusted ? peer.marks.score(now) : this.options.ejectScore
    })
    return quantile(scores, PEER_QUANTILE) ?? 0
  }

  private peersOf(record: EndpointRecord): readonly EndpointRecord[] {
    return [...(this.byService.get(record.service) ?? [])].filter((peer) => peer !== record)
  }

  private hasHealthyPeer(now: number, record: EndpointRecord): boolean {
    return this.peersOf(record).some((peer) => peer.state(now) === HealthState.Healthy)
  }

  private mayEject(now: number, record: EndpointRecord): boolean {
    return this.ejectedOf(now, record.service).length + 1 <= this.ejectedLimit(record.service)
  }

  private ejectedLimit(service: string): number {
    const endpoints = this.byService.get(service)?.size ?? 0
    return Math.floor(endpoints * this.options.maxEjectedShare)
  }

  private ejectedOf(now: number, service: string): EndpointRecord[] {
    const records = [...(this.byService.get(service) ?? [])]
    return records.filter((record) => record.state(now) === HealthState.Ejected)
  }

  /** When endpoints leave, those still ejected may have become too large a share. */
  private releaseBeyondLimit(service: string): void {
    const ejected = this.ejectedOf(this.latest, service)
    const beyond = ejected.length - this.ejectedLimit(service)
    for (const record of ejected.slice(0, Math.max(0, beyond))) record.release()
  }
}
