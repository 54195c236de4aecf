import { NoticeState } from '@cherryhitch/protocol'
import type { EndpointNotice } from '@cherryhitch/protocol'
import type { EndpointHealth, EndpointSpeeds } from '@cherryhitch/policy'
import type { DispatchTiming } from '../DispatchOptions'
import { EndpointRecord, machineOf } from './EndpointRecord'

/** The known incarnations of one machine; at most one of them is running. */
interface Machine {
  readonly incarnations: Set<EndpointRecord>
  /** Highest number among its incarnations; the machine may refuse orders with a lower number. */
  incarnationNumber: number
}

/**
 * The endpoints that announced themselves, one record per incarnation, by endpoint id.
 *
 * @internal
 */
export class EndpointRegistry {
  readonly #records = new Map<string, EndpointRecord>()
  readonly #machines = new Map<string, Machine>()
  /** Number of incarnations discovered in the current leader's term. */
  #incarnationCount = 0
  /** Grant of newly discovered endpoints. */
  #grant = 0
  /** Records that have changed since the last `drainChanged`. */
  readonly #changed = new Set<EndpointRecord>()

  constructor(
    private readonly timing: DispatchTiming,
    private readonly health: EndpointHealth,
    private readonly slowness: EndpointSpeeds,
  ) {}

  get size(): number {
    return this.#records.size
  }

  get(id: string): EndpointRecord | undefined {
    return this.#records.get(id)
  }

  all(): IterableIterator<EndpointRecord> {
    return this.#records.values()
  }

  /** The other incarnations of an endpoint's machine that have not been removed. */
  otherIncarnations(record: EndpointRecord): EndpointRecord[] {
    const incarnations = this.#machines.get(record.machine)?.incarnations ?? []
    return [...incarnations].filter((other) => other !== record)
  }

  /** Applies a notice; returns the record if the notice was accepted. */
  applyNotice(now: number, notice: EndpointNotice): EndpointRecord | undefined {
    const known = this.#records.get(notice.endpoint)
    if (known !== undefined) return known.applyNotice(now, notice) ? known : undefined
    if (notice.state === NoticeState.GONE || this.#lacksIncarnation(notice)) return undefined
    return this.#add(now, notice)
  }

  /**
   * Whether no more tasks are started at an endpoint once its LEAVING or GONE notice is applied.
   */
  honorsLeaving(notice: EndpointNotice): boolean {
    const known = this.#records.get(notice.endpoint)
    if (known !== undefined) return known.honorsLeaving(notice)
    return notice.state === NoticeState.GONE || !this.#lacksIncarnation(notice)
  }

  /**
   * The ids of the endpoints that a notice refers to. A GONE notice may name only the machine: it
   * then refers to the incarnations that announced LEAVING, because a later incarnation may have
   * started before the notice arrives.
   */
  endpointIdsOf(notice: EndpointNotice): string[] {
    const { endpoint, state } = notice
    const machine = this.#machines.get(machineOf(notice))
    const isNamed = state !== NoticeState.GONE || this.#records.has(endpoint)
    if (isNamed || machine === undefined) return [endpoint]
    const leaving = [...machine.incarnations].filter(
      (record) => record.notice.state === NoticeState.LEAVING,
    )
    return leaving.map(({ id }) => id)
  }

  /** Starts a new term: its fencing tokens are higher than those of all earlier terms. */
  beginTerm(grant = 0): void {
    this.#incarnationCount = 0
    this.#grant = grant
    for (const machine of this.#machines.values()) machine.incarnationNumber = 0
    for (const record of this.#records.values()) {
      record.incarnationNumber = 0
      record.grant = grant
      record.nextGrant = undefined
      record.fencedSince = undefined
    }
  }

  /**
   * Raises the incarnation number of an endpoint that refused an order because its machine has seen
   * a higher number.
   */
  raiseIncarnationNumber(record: EndpointRecord): void {
    record.incarnationNumber =
      this.#machines.get(record.machine)?.incarnationNumber ?? record.incarnationNumber
  }

  /** Whether a notice names no incarnation although its machine is known to name them. */
  #lacksIncarnation(notice: EndpointNotice): boolean {
    const machine = machineOf(notice)
    return notice.endpoint === machine && this.#machines.has(machine)
  }

  #machineOf(record: EndpointRecord): Machine {
    const known = this.#machines.get(record.machine)
    if (known !== undefined) return known
    const machine = { incarnations: new Set<EndpointRecord>(), incarnationNumber: 0 }
    this.#machines.set(record.machine, machine)
    return machine
  }

  #add(now: number, notice: EndpointNotice): EndpointRecord {
    const { clockDrift: drift, minAnswerTimeoutMs: minMs, maxAnswerTimeoutMs: maxMs } = this.timing
    const roundTrip = { minMs, maxMs }
    const onChange = (changed: EndpointRecord): void => {
      this.#changed.add(changed)
    }
    const record = new EndpointRecord(notice, now, { drift, roundTrip, onChange })
    record.grant = this.#grant
    this.#changed.add(record)
    this.#records.set(notice.endpoint, record)
    this.health.add(record.id, record.service)
    const { service, labels } = notice
    this.slowness.describe(record.id, { service, machine: record.machine, labels })
    const machine = this.#machineOf(record)
    for (const other of machine.incarnations) other.markPossiblyReplaced(now)
    record.incarnationNumber = machine.incarnationNumber = ++this.#incarnationCount
    machine.incarnations.add(record)
    return record
  }

  remove(record: EndpointRecord): void {
    this.#records.delete(record.id)
    const incarnations = this.#machines.get(record.machine)?.incarnations
    incarnations?.delete(record)
    if (incarnations?.size === 0) this.#machines.delete(record.machine)
    this.health.remove(record.id)
    this.slowness.remove(record.id)
    this.#changed.add(record)
  }

  /** False once the record has been removed. */
  has(record: EndpointRecord): boolean {
    return this.#records.get(record.id) === record
  }

  /** Visits the records that were changed, added or removed since the last call. */
  drainChanged(visit: (record: EndpointRecord) => void): void {
    for (const record of this.#changed) visit(record)
    this.#changed.clear()
  }

  /**
   * Whether an endpoint without runs can be removed: it was replaced and its orders have expired,
   * or it has been silent for `endpointExpiryMs`, or it announced GONE and no longer answers.
   */
  isRemovable(now: number, record: EndpointRecord): boolean {
    if (record.runs.size > 0) return false
    if (record.isReplaced) return record.isQuiescent(now)
    const { endpointExpiryMs } = this.timing
    const silent = now - Math.max(record.answeredAt, record.noticedAt) > endpointExpiryMs
    return silent || (record.notice.state === NoticeState.GONE && record.unanswered > 0)
  }

  /** The notices to send to other instances, with their current ages. */
  notices(now: number): EndpointNotice[] {
    return [...this.#records.values()].map((record) => record.noticeAt(now))
  }
}
