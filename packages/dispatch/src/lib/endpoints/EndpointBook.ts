import { NoticeState } from '@cherryhitch/protocol'
import type { EndpointNotice } from '@cherryhitch/protocol'
import type { EndpointHealth, SlownessTracker } from '@cherryhitch/policy'
import type { DispatchTiming } from '../DispatchOptions'
import { EndpointRecord } from './EndpointRecord'

/** The endpoints that announced themselves, each life by its id. @internal */
export class EndpointBook {
  readonly #records = new Map<string, EndpointRecord>()
  /** Those that have changed since they were last handed out. */
  readonly #changed = new Set<EndpointRecord>()

  constructor(
    private readonly timing: DispatchTiming,
    private readonly health: EndpointHealth,
    private readonly slowness: SlownessTracker,
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

  /** Takes a notice in; gives the record when the notice brought something new. */
  take(now: number, notice: EndpointNotice): EndpointRecord | undefined {
    const known = this.#records.get(notice.endpoint)
    if (known !== undefined) return known.take(now, notice) ? known : undefined
    if (notice.state === NoticeState.GONE) return undefined
    const { clockDrift: drift, leastAnswerMs: minMs, startTimeoutMs: maxMs } = this.timing
    const roundTrip = { minMs, maxMs }
    const onChange = (changed: EndpointRecord): void => {
      this.#changed.add(changed)
    }
    const record = new EndpointRecord(notice, now, { drift, roundTrip, onChange })
    this.#changed.add(record)
    this.#records.set(notice.endpoint, record)
    this.health.add(record.id, record.service)
    return record
  }

  remove(record: EndpointRecord): void {
    this.#records.delete(record.id)
    this.health.remove(record.id)
    this.slowness.remove(record.id)
    this.#changed.add(record)
  }

  /** False once it was removed. */
  has(record: EndpointRecord): boolean {
    return this.#records.get(record.id) === record
  }

  /** Hands out the records that have changed, come or gone since the last call. */
  drainChanged(visit: (record: EndpointRecord) => void): void {
    for (const record of this.#changed) visit(record)
    this.#changed.clear()
  }

  /** True when nothing was heard of it for so long, or it said so, that it may be forgotten. */
  isForgettable(now: number, record: EndpointRecord): boolean {
    if (record.runs.size > 0) return false
    if (record.isReplaced) return true
    const { forgetEndpointMs } = this.timing
    const silent = now - Math.max(record.answeredAt, record.noticedAt) > forgetEndpointMs
    return silent || (record.notice.state === NoticeState.GONE && record.unanswered > 0)
  }

  /** The notices as others are to get them, with their present ages. */
  notices(now: number): EndpointNotice[] {
    return [...this.#records.values()].map((record) => record.noticeAt(now))
  }
}
