import { NoticeState } from '@cherryhitch/protocol'
import type { EndpointNotice } from '@cherryhitch/protocol'
import type { EndpointHealth, SlownessTracker } from '@cherryhitch/policy'
import type { DispatchTiming } from '../DispatchOptions'
import { EndpointRecord, machineOf } from './EndpointRecord'

/** The known lives of one machine, of which one at most is there. */
interface Machine {
  readonly lives: Set<EndpointRecord>
  /** The highest of its lives: what it was ordered under, it may refuse all that is lower. */
  lifeNumber: number
}

/** The endpoints that announced themselves, each life by its name. @internal */
export class EndpointBook {
  readonly #records = new Map<string, EndpointRecord>()
  readonly #machines = new Map<string, Machine>()
  /** Lives that became known in this leader's term. */
  #lives = 0
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

  /** The other lives of an endpoint's machine that are not forgotten. */
  otherLives(record: EndpointRecord): EndpointRecord[] {
    const lives = this.#machines.get(record.machine)?.lives ?? []
    return [...lives].filter((life) => life !== record)
  }

  /** Takes a notice in; gives the record when the notice brought something new. */
  take(now: number, notice: EndpointNotice): EndpointRecord | undefined {
    const known = this.#records.get(notice.endpoint)
    if (known !== undefined) return known.take(now, notice) ? known : undefined
    if (notice.state === NoticeState.GONE || this.#isNameless(notice)) return undefined
    return this.#add(now, notice)
  }

  /** Whether nothing is started at an endpoint any more once its word that it leaves was taken. */
  heeds(notice: EndpointNotice): boolean {
    const known = this.#records.get(notice.endpoint)
    if (known !== undefined) return known.heeds(notice)
    return notice.state === NoticeState.GONE || !this.#isNameless(notice)
  }

  /**
   * The lives that a notice is about. A goodbye may name the machine alone: it is of those of its lives
   * that have said that they leave. A later life may have begun before it arrives.
   */
  namedBy(notice: EndpointNotice): string[] {
    const { endpoint, state } = notice
    const machine = this.#machines.get(machineOf(notice))
    const isNamed = state !== NoticeState.GONE || this.#records.has(endpoint)
    if (isNamed || machine === undefined) return [endpoint]
    const leaving = [...machine.lives].filter((life) => life.notice.state === NoticeState.LEAVING)
    return leaving.map(({ id }) => id)
  }

  /** Another term begins: its token is higher than any of those before. */
  beginTerm(): void {
    this.#lives = 0
    for (const machine of this.#machines.values()) machine.lifeNumber = 0
    for (const record of this.#records.values()) record.lifeNumber = 0
  }

  /** An endpoint refused an order under the number of its life, since its machine has seen a higher one. */
  raiseLifeNumber(record: EndpointRecord): void {
    record.lifeNumber = this.#machines.get(record.machine)?.lifeNumber ?? record.lifeNumber
  }

  /** Whether a notice names no life, and its machine is known to name them. */
  #isNameless(notice: EndpointNotice): boolean {
    const machine = machineOf(notice)
    return notice.endpoint === machine && this.#machines.has(machine)
  }

  #machineOf(record: EndpointRecord): Machine {
    const known = this.#machines.get(record.machine)
    if (known !== undefined) return known
    const machine = { lives: new Set<EndpointRecord>(), lifeNumber: 0 }
    this.#machines.set(record.machine, machine)
    return machine
  }

  #add(now: number, notice: EndpointNotice): EndpointRecord {
    const { clockDrift: drift, leastAnswerMs: minMs, startTimeoutMs: maxMs } = this.timing
    const roundTrip = { minMs, maxMs }
    const onChange = (changed: EndpointRecord): void => {
      this.#changed.add(changed)
    }
    const record = new EndpointRecord(notice, now, { drift, roundTrip, onChange })
    this.#changed.add(record)
    this.#records.set(notice.endpoint, record)
    this.health.add(record.id, record.service)
    const machine = this.#machineOf(record)
    for (const life of machine.lives) life.doubt(now)
    record.lifeNumber = machine.lifeNumber = ++this.#lives
    machine.lives.add(record)
    return record
  }

  remove(record: EndpointRecord): void {
    this.#records.delete(record.id)
    const lives = this.#machines.get(record.machine)?.lives
    lives?.delete(record)
    if (lives?.size === 0) this.#machines.delete(record.machine)
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
    if (record.isReplaced) return record.isOver(now)
    const { forgetEndpointMs } = this.timing
    const silent = now - Math.max(record.answeredAt, record.noticedAt) > forgetEndpointMs
    return silent || (record.notice.state === NoticeState.GONE && record.unanswered > 0)
  }

  /** The notices as others are to get them, with their present ages. */
  notices(now: number): EndpointNotice[] {
    return [...this.#records.values()].map((record) => record.noticeAt(now))
  }
}
