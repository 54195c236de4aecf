import type { HeartbeatAnswer } from '@cherryhitch/model'
import type { SeededRandom } from '../util/SeededRandom'

/** @internal */
export interface HeartbeatRouteOptions {
  readonly instances: readonly string[]
  readonly heartbeatMs: number
}

const MIN_RETRY_MS = 50
const MAX_INTERVAL_MS = 10_000

/**
 * Decides where the next heartbeat goes and when: it follows the owner that an instance
 * names, and tries the other instances in turn while none answers.
 *
 * @internal
 */
export class HeartbeatRoute {
  private target: string | undefined
  private failures = 0
  private intervalMs: number

  constructor(
    private readonly options: HeartbeatRouteOptions,
    private readonly random: SeededRandom,
  ) {
    this.intervalMs = options.heartbeatMs
    this.target = this.pickOther(undefined)
  }

  /** Undefined when no instance is known. */
  next(): string | undefined {
    return this.target
  }

  /** Takes an answer in; says whether it came from the owner itself. */
  answered(from: string, answer: HeartbeatAnswer): boolean {
    this.failures = 0
    this.target = answer.ownerAddress === '' ? from : answer.ownerAddress
    this.intervalMs = Math.min(Math.max(answer.nextHeartbeatMs, MIN_RETRY_MS), MAX_INTERVAL_MS)
    return this.target === from
  }

  failed(from: string): void {
    this.failures++
    this.target = this.pickOther(from)
  }

  /** A first failure is retried at once elsewhere; a round of failures waits an interval. */
  waitMs(): number {
    if (this.failures === 0) return this.intervalMs
    const roundOver = this.failures % Math.max(this.options.instances.length, 1) === 0
    return roundOver ? this.intervalMs : MIN_RETRY_MS
  }

  private pickOther(last: string | undefined): string | undefined {
    const { instances } = this.options
    if (instances.length === 0) return undefined
    const at = last === undefined ? -1 : instances.indexOf(last)
    if (at < 0) return this.random.pick(instances)
    return instances[(at + 1) % instances.length]
  }
}
